#include "http/server.h"

#include <array>
#include <deque>

namespace hawthornlug::http {

namespace {

using Tcp = asio::ip::tcp;
using SteadyPoint = std::chrono::steady_clock::time_point;

constexpr int kBacklog = 1024;
constexpr std::size_t kReadBytes = 16384;
/// Requests of one connection that are served at the same time.
constexpr std::size_t kMaxPipelined = 16;
/// A connection that holds less than this is not refused for want of memory.
constexpr std::size_t kSmallHolding = 65536;
constexpr std::chrono::milliseconds kSweepInterval{ 200 };
/// How long a connection that is being closed is read, so that its last answer isn't lost.
constexpr std::chrono::seconds kLinger{ 1 };
constexpr int kUnavailable = 503;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

int StatusOf(ReadState aState)
{
  switch (aState) {
    case ReadState::kHeaderTooLarge:
      return 431;
    case ReadState::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

} // namespace

/// One caller's connection.
class Server::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Server& aServer, Tcp::socket aSocket)
    : mServer(aServer)
    , mSocket(std::move(aSocket))
    , mReader(MessageReader::Mode::kRequests, aServer.mLimits.read)
    , mTouchedAt(std::chrono::steady_clock::now())
  {
  }

  void Start()
  {
    asio::error_code ec;
    mSocket.set_option(Tcp::no_delay(true), ec);
    const Tcp::endpoint sender = mSocket.remote_endpoint(ec);
    if (!ec) {
      mSender = sender.address().to_string();
    }
    Read();
  }

  void CheckTimeouts(SteadyPoint aNow)
  {
    if (mLingering) {
      if (aNow - mTouchedAt > kLinger) {
        Close();
      }
      return;
    }
    if (!mPending.empty() || mWriting) {
      return;
    }
    if (mReader.IsInMessage() && !mReader.HasHeader()) {
      if (aNow - mMessageStartedAt > mServer.mLimits.headerTimeout) {
        Refuse(408, ReadState::kNeedsMore);
      }
      return;
    }
    if (aNow - mTouchedAt > mServer.mLimits.idleTimeout) {
      if (mReader.IsInMessage()) {
        Refuse(408, ReadState::kNeedsMore);
        return;
      }
      Close();
    }
  }

  void Close()
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    asio::error_code ec;
    mSocket.close(ec);
    mServer.mHeldBytes -= mHeldBytes;
    mHeldBytes = 0;
    // Abandoned requests may hold the last references to this connection.
    const auto self = shared_from_this();
    std::deque<std::shared_ptr<PendingExchange>> pending;
    pending.swap(mPending);
    for (const auto& it : pending) {
      it->Abandon();
    }
    mServer.mConnections.erase(self);
  }

  std::size_t Unanswered() const
  {
    std::size_t n = 0;
    for (const auto& it : mPending) {
      n += it->IsAnswered() ? 0 : 1;
    }
    return n + (mWriting ? 1 : 0);
  }

private:
  class PendingExchange : public Exchange
  {
  public:
    PendingExchange(std::weak_ptr<Connection> aConnection, Request aRequest)
      : mConnection(std::move(aConnection))
      , mRequest(std::move(aRequest))
      , mIsHead(mRequest.method == "HEAD")
      , mKeepAlive(mRequest.keepAlive)
    {
    }

    Request& Received() override { return mRequest; }

    void Respond(Response aResponse) override
    {
      if (mAnswered) {
        return;
      }
      mAnswered = true;
      mAbandoned = nullptr;
      const auto connection = mConnection.lock();
      if (!connection) {
        return;
      }
      aResponse.keepAlive = aResponse.keepAlive && mKeepAlive;
      mResponse = std::move(aResponse);
      connection->WriteNext();
      connection->CountHeld();
    }

    std::size_t AnswersBehind() const override
    {
      const auto connection = mConnection.lock();
      return connection ? connection->AnswersBehind(this) : 0;
    }

    void SetAbandoned(Abandoned aAbandoned) override { mAbandoned = std::move(aAbandoned); }

    void Abandon()
    {
      const Abandoned abandoned = std::move(mAbandoned);
      mAbandoned = nullptr;
      if (abandoned) {
        abandoned();
      }
    }

    std::size_t HeldBytes() const { return mRequest.body.size() + mResponse.body.size(); }
    bool IsAnswered() const { return mAnswered; }
    Response& Answer() { return mResponse; }
    bool IsHead() const { return mIsHead; }

  private:
    std::weak_ptr<Connection> mConnection;
    Request mRequest;
    Response mResponse;
    Abandoned mAbandoned;
    bool mAnswered = false;
    bool mIsHead;
    bool mKeepAlive;
  };

  std::size_t AnswersBehind(const PendingExchange* aExchange) const
  {
    std::size_t n = 0;
    for (auto it = mPending.rbegin(); it != mPending.rend() && it->get() != aExchange; ++it) {
      n += (*it)->IsAnswered() ? 1 : 0;
    }
    return n;
  }

  void Read()
  {
    if (mClosed || mReading) {
      return;
    }
    mReading = true;
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t aBytes) {
        self->mReading = false;
        self->OnRead(aError, aBytes);
      });
  }

  void OnRead(const asio::error_code& aError, std::size_t aBytes)
  {
    if (mClosed) {
      return;
    }
    if (aError) {
      Close();
      return;
    }
    if (mLingering) {
      Read();
      return;
    }
    const SteadyPoint now = std::chrono::steady_clock::now();
    mTouchedAt = now;
    if (!mReader.IsInMessage()) {
      mMessageStartedAt = now;
      mReader.SetLimits(mServer.mLimits.read);
    }
    mReader.Append({ mBuffer.data(), aBytes });
    TakeRequests();
    CountHeld();
    RefuseIfFull();
    // A caller that floods its connection waits until some of it has been answered.
    if (!mRefused && mReader.Buffered() < mServer.mLimits.read.headerBytes + kReadBytes) {
      Read();
    }
  }

  /// Tells the server how much this connection holds.
  void CountHeld()
  {
    if (mClosed) {
      return;
    }
    std::size_t held = mReader.HeldBytes() + mWritingBytes;
    for (const auto& it : mPending) {
      held += it->HeldBytes();
    }
    mServer.mHeldBytes += held;
    mServer.mHeldBytes -= mHeldBytes;
    mHeldBytes = held;
  }

  /// Refuses a body that is on its way when memory has run out; nothing of it has been passed on.
  void RefuseIfFull()
  {
    const bool full = mServer.mHeldBytes > mServer.mLimits.heldBytes;
    if (full && !mClosed && mReader.HasHeader() && mReader.HeldBytes() > kSmallHolding) {
      Refuse(kUnavailable, ReadState::kBodyTooLarge);
    }
  }

  void TakeRequests()
  {
    while (!mClosed && !mRefused && !mLastRequest && mPending.size() < kMaxPipelined) {
      const ReadState state = mReader.Advance();
      if (state == ReadState::kNeedsMore) {
        if (mReader.ExpectsContinue() && !mContinued && mPending.empty() && !mWriting) {
          mContinued = true;
          WriteBytes(std::string(kContinue), false);
        }
        return;
      }
      if (state != ReadState::kComplete) {
        Refuse(StatusOf(state), state);
        return;
      }
      mContinued = false;
      mMessageStartedAt = std::chrono::steady_clock::now();
      auto it = std::make_shared<PendingExchange>(weak_from_this(), mReader.TakeRequest());
      it->Received().sender = mSender;
      mLastRequest = !it->Received().keepAlive;
      mPending.push_back(it);
      mServer.mHandler.OnRequest(it);
      if (!mReader.IsInMessage()) {
        return;
      }
    }
  }

  /// Answers what can't be read, behind the answers that are still due.
  void Refuse(int aStatus, ReadState aState)
  {
    if (mRefused) {
      return;
    }
    mRefused = true;
    mServer.mHandler.OnBadRequest(aStatus, aState);
    auto it = std::make_shared<PendingExchange>(weak_from_this(), Request());
    mPending.push_back(it);
    Response response;
    response.status = aStatus;
    response.keepAlive = false;
    it->Respond(std::move(response));
    Read();
  }

  void WriteNext()
  {
    if (mWriting || mClosed || mPending.empty() || !mPending.front()->IsAnswered()) {
      return;
    }
    const std::shared_ptr<PendingExchange> it = mPending.front();
    mPending.pop_front();
    Response& response = it->Answer();
    response.keepAlive = response.keepAlive && !mServer.mDraining;
    WriteBytes(Serialize(response, it->IsHead()), !response.keepAlive);
  }

  void WriteBytes(std::string aBytes, bool aLast)
  {
    mWriting = true;
    mWritingBytes = aBytes.size();
    auto bytes = std::make_shared<std::string>(std::move(aBytes));
    asio::async_write(
      mSocket,
      asio::buffer(*bytes),
      [self = shared_from_this(), bytes, aLast](const asio::error_code& aError, std::size_t) {
        self->mWriting = false;
        self->mWritingBytes = 0;
        self->OnWritten(aError, aLast);
        self->CountHeld();
      });
  }

  void OnWritten(const asio::error_code& aError, bool aLast)
  {
    if (mClosed) {
      return;
    }
    if (aError) {
      Close();
      return;
    }
    mTouchedAt = std::chrono::steady_clock::now();
    if (aLast) {
      Linger();
      return;
    }
    WriteNext();
    if (mReader.IsInMessage()) {
      TakeRequests();
    }
    Read();
  }

  /// Closes for sending and reads on for a while: unread bytes would reset the connection and
  /// lose the last answer.
  void Linger()
  {
    mLingering = true;
    std::deque<std::shared_ptr<PendingExchange>> pending;
    pending.swap(mPending);
    for (const auto& it : pending) {
      it->Abandon();
    }
    asio::error_code ec;
    mSocket.shutdown(Tcp::socket::shutdown_send, ec);
    Read();
  }

  Server& mServer;
  Tcp::socket mSocket;
  MessageReader mReader;
  std::string mSender;
  std::array<char, kReadBytes> mBuffer{};
  std::deque<std::shared_ptr<PendingExchange>> mPending;
  SteadyPoint mTouchedAt;
  SteadyPoint mMessageStartedAt;
  std::size_t mHeldBytes = 0;
  std::size_t mWritingBytes = 0;
  bool mReading = false;
  bool mWriting = false;
  bool mClosed = false;
  bool mLingering = false;
  bool mRefused = false;
  bool mLastRequest = false;
  bool mContinued = false;
};

Server::Server(asio::io_context& aContext, const Tcp::endpoint& aEndpoint, Handler& aHandler)
  : mAcceptor(aContext)
  , mSweepTimer(aContext)
  , mHandler(aHandler)
{
  mAcceptor.open(aEndpoint.protocol());
  mAcceptor.set_option(Tcp::acceptor::reuse_address(true));
  mAcceptor.bind(aEndpoint);
  mAcceptor.listen(kBacklog);
  Accept();
  Sweep();
}

Server::~Server()
{
  Stop();
}

void Server::StopAccepting()
{
  asio::error_code ec;
  mAcceptor.close(ec);
}

void Server::Stop()
{
  StopAccepting();
  mSweepTimer.cancel();
  const auto connections = mConnections;
  for (const auto& it : connections) {
    it->Close();
  }
}

std::size_t Server::Unanswered() const
{
  std::size_t n = 0;
  for (const auto& it : mConnections) {
    n += it->Unanswered();
  }
  return n;
}

void Server::Accept()
{
  mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
    if (!mAcceptor.is_open()) {
      return;
    }
    if (!aError && mConnections.size() < mLimits.connections) {
      auto it = std::make_shared<Connection>(*this, std::move(aSocket));
      mConnections.insert(it);
      it->Start();
    }
    Accept();
  });
}

void Server::Sweep()
{
  mSweepTimer.expires_after(kSweepInterval);
  mSweepTimer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    const SteadyPoint now = std::chrono::steady_clock::now();
    const auto connections = mConnections;
    for (const auto& it : connections) {
      it->CheckTimeouts(now);
    }
    Sweep();
  });
}

} // namespace hawthornlug::http
