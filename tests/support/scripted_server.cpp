#include "tests/support/scripted_server.h"

#include <array>

namespace hawthornlug::test {

namespace {

using Tcp = asio::ip::tcp;

/// The pauses before a server ends a connection soon, and late.
constexpr std::chrono::microseconds kShortEndDelay{ 1000 };
constexpr std::chrono::microseconds kEndDelay{ 30'000 };
/// Small, so that a server that stops reading has got a part of a large request only.
constexpr int kReceiveBufferBytes = 8192;
constexpr std::size_t kReadBytes = 4096;
constexpr const char* kIdHeader = "X-Hawthornlug-Attempt-Id";

void Replace(std::string& aText, std::string_view aWord, const std::string& aBy)
{
  for (std::size_t at = 0; (at = aText.find(aWord, at)) != std::string::npos; at += aBy.size()) {
    aText.replace(at, aWord.size(), aBy);
  }
}

} // namespace

/// One connection.
struct ScriptedServers::Peer
{
  Peer(Tcp::socket aSocket, unsigned aServer)
    : socket(std::move(aSocket))
    , timer(socket.get_executor())
    , server(aServer)
    , reader(http::MessageReader::Mode::kRequests, http::ReadLimits())
  {
  }

  Tcp::socket socket;
  asio::steady_timer timer;
  unsigned server;
  http::MessageReader reader;
  std::array<char, kReadBytes> buf{};
  /// The request that is being received has been dealt with.
  bool begun = false;
};

ScriptedServers::ScriptedServers(unsigned aServers, std::vector<Step> aScript, Accepting aAccepting)
  : mScript(aScript.begin(), aScript.end())
  , mAccepting(aAccepting)
{
  for (unsigned n = 0; n < aServers; ++n) {
    Tcp::acceptor& it = mAcceptors.emplace_back(mContext, Tcp::v4());
    it.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    it.bind({ asio::ip::address_v4::loopback(), 0 });
    it.listen();
    mAddresses.push_back("127.0.0.1:" + std::to_string(it.local_endpoint().port()));
    Accept(n);
  }
  mThread = std::thread([this] { mContext.run(); });
}

ScriptedServers::~ScriptedServers()
{
  mContext.stop();
  mThread.join();
}

void ScriptedServers::Stop()
{
  std::atomic<bool> done = false;
  asio::post(mContext, [&] {
    for (Tcp::acceptor& it : mAcceptors) {
      it.close();
    }
    for (const std::weak_ptr<Peer>& weak : mPeers) {
      if (const PeerPtr it = weak.lock()) {
        EndNow(*it, After::kEnd);
      }
    }
    done = true;
    done.notify_one();
  });
  done.wait(false);
}

void ScriptedServers::Accept(unsigned aServer)
{
  mAcceptors[aServer].async_accept(
    [this, aServer](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto it = std::make_shared<Peer>(std::move(aSocket), aServer);
      mPeers.push_back(it);
      {
        const std::scoped_lock lock(mLock);
        ++mAccepted;
      }
      if (mAccepting == Accepting::kReset || mAccepting == Accepting::kEnd) {
        EndNow(*it, mAccepting == Accepting::kReset ? After::kReset : After::kEnd);
      } else {
        if (mAccepting == Accepting::kEndLate || mAccepting == Accepting::kEndSoon) {
          EndLater(it, After::kEnd);
        }
        Read(it);
      }
      Accept(aServer);
    });
}

void ScriptedServers::EndNow(Peer& aPeer, After aAfter)
{
  asio::error_code ec;
  if (aAfter == After::kReset) {
    aPeer.socket.set_option(asio::socket_base::linger(true, 0), ec);
  }
  aPeer.socket.close(ec);
}

void ScriptedServers::EndLater(const PeerPtr& aPeer, After aAfter)
{
  aPeer->timer.expires_after(mAccepting == Accepting::kEndSoon ? kShortEndDelay : kEndDelay);
  aPeer->timer.async_wait([aPeer, aAfter](const asio::error_code&) { EndNow(*aPeer, aAfter); });
}

void ScriptedServers::Read(const PeerPtr& aPeer)
{
  aPeer->socket.async_read_some(asio::buffer(aPeer->buf),
                                [this, aPeer](const asio::error_code& aError, std::size_t aBytes) {
                                  if (!aError) {
                                    OnBytes(aPeer, aBytes);
                                  }
                                });
}

void ScriptedServers::OnBytes(const PeerPtr& aPeer, std::size_t aBytes)
{
  {
    const std::scoped_lock lock(mLock);
    mBytes += aBytes;
  }
  http::MessageReader& reader = aPeer->reader;
  reader.Append({ aPeer->buf.data(), aBytes });
  const http::ReadState state = reader.Advance();
  const Moment next = mScript.front().moment;
  if (!aPeer->begun && next == Moment::kHeader && reader.IsInMessage() && reader.HasHeader()) {
    aPeer->begun = true;
    Begin(aPeer, reader.PeekRequest());
  }
  if (state == http::ReadState::kComplete) {
    const http::Request request = reader.TakeRequest();
    if (!aPeer->begun) {
      Begin(aPeer, request);
    }
    aPeer->begun = false;
  }
  if (aPeer->socket.is_open()) {
    Read(aPeer);
  }
}

Step ScriptedServers::NextStep()
{
  Step step = mScript.front();
  if (mScript.size() > 1) {
    mScript.pop_front();
  }
  return step;
}

void ScriptedServers::Begin(const PeerPtr& aPeer, const http::Request& aRequest)
{
  const Step step = NextStep();
  const std::string id(aRequest.headers.Get(kIdHeader));
  {
    const std::scoped_lock lock(mLock);
    ++mArrived;
    if (step.runs) {
      mLedger.NoteRun(id);
    }
  }
  if (step.takes.count() == 0) {
    Answer(aPeer, step, id);
    return;
  }
  aPeer->timer.expires_after(step.takes);
  aPeer->timer.async_wait([this, aPeer, step, id](const asio::error_code& aError) {
    if (!aError) {
      Answer(aPeer, step, id);
    }
  });
}

void ScriptedServers::Answer(const PeerPtr& aPeer, const Step& aStep, const std::string& aId)
{
  std::string text = aStep.answer;
  Replace(text, "ID\r\n", aId + "\r\n");
  Replace(text, "SELF\r\n", IdOf(aPeer->server) + "\r\n");
  asio::error_code ec;
  asio::write(aPeer->socket, asio::buffer(text), ec);
  if (aStep.after != After::kKeep) {
    EndNow(*aPeer, aStep.after);
  } else if (mAccepting == Accepting::kResetIdle) {
    EndLater(aPeer, After::kReset);
  }
}

std::size_t ScriptedServers::Bytes() const
{
  const std::scoped_lock lock(mLock);
  return mBytes;
}

std::size_t ScriptedServers::Accepted() const
{
  const std::scoped_lock lock(mLock);
  return mAccepted;
}

std::size_t ScriptedServers::Arrived() const
{
  const std::scoped_lock lock(mLock);
  return mArrived;
}

unsigned ScriptedServers::Runs(const std::string& aId) const
{
  const std::scoped_lock lock(mLock);
  return mLedger.Runs(aId);
}

std::vector<std::string> ScriptedServers::Falsehoods() const
{
  const std::scoped_lock lock(mLock);
  return mLedger.Falsehoods();
}

std::size_t ScriptedServers::Promises() const
{
  const std::scoped_lock lock(mLock);
  return mLedger.Promises();
}

void ScriptedServers::NoteOnce(const std::string& aId)
{
  const std::scoped_lock lock(mLock);
  mLedger.NoteOnce(aId);
}

void ScriptedServers::NoteStatus(const std::string& aId, int aStatus)
{
  const std::scoped_lock lock(mLock);
  mLedger.NoteStatus(aId, aStatus);
}

} // namespace hawthornlug::test
