#include "tests/support/fleet_callers.h"

#include <array>
#include <deque>

namespace hawthornlug::test {

namespace {

using std::chrono::milliseconds;
using Tcp = asio::ip::tcp;

constexpr unsigned kKeys = 65536;
constexpr milliseconds kReconnectDelay{ 100 };
/// Pauses between requests, and between pieces of a body.
constexpr unsigned kShortestPauseMs = 40;
constexpr unsigned kLongestPauseMs = 200;
constexpr unsigned kLongestStayMs = 60;
constexpr unsigned kMostPipelined = 5;
/// Below the MaxBodyBytes of the fleet's configuration.
constexpr std::size_t kLongBody = 40000;
constexpr std::size_t kPiece = 2000;
/// Unanswered requests after which a caller sends no more before the next answer.
constexpr std::size_t kMostUnanswered = 20;

constexpr std::array kKinds = { CallerKind::kLasting,
                                CallerKind::kLasting,
                                CallerKind::kPipelining,
                                CallerKind::kSlowBody,
                                CallerKind::kLeaving };

} // namespace

class FleetCallers::Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(FleetCallers& aAll, CallerKind aKind, unsigned aDaemon, std::string aName)
    : mAll(aAll)
    , mKind(aKind)
    , mDaemon(aDaemon)
    , mName(std::move(aName))
    , mSocket(aAll.mFleet.Context())
    , mTimer(aAll.mFleet.Context())
  {
  }

  void Connect()
  {
    if (mEnded) {
      return;
    }
    mReader = std::make_unique<http::MessageReader>(http::MessageReader::Mode::kResponses,
                                                    http::ReadLimits());
    mUnanswered.clear();
    mUnsent.clear();
    mClosing = false;
    ++mLife;
    mSocket = Tcp::socket(mAll.mFleet.Context());
    const Tcp::endpoint endpoint = *http::ParseEndpoint(mAll.mFleet.CallersAddress(mDaemon));
    mSocket.async_connect(
      endpoint, [self = shared_from_this(), life = mLife](const asio::error_code& aError) {
        if (life != self->mLife) {
          return;
        }
        if (aError) {
          self->ConnectLater();
          return;
        }
        asio::error_code ec;
        self->mSocket.set_option(Tcp::no_delay(true), ec);
        self->Read();
        self->SendLater();
      });
  }

  void End()
  {
    mEnded = true;
    Close();
  }

private:
  unsigned Draw(unsigned aFrom, unsigned aTo)
  {
    return aFrom + static_cast<unsigned>(mAll.mRandom() % (aTo - aFrom + 1));
  }

  void After(milliseconds aTime, void (Caller::*aAction)())
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait(
      [self = shared_from_this(), life = mLife, aAction](const asio::error_code& aError) {
        if (!aError && life == self->mLife && !self->mEnded) {
          (self.get()->*aAction)();
        }
      });
  }
  void ConnectLater() { After(kReconnectDelay, &Caller::Connect); }
  void SendLater()
  {
    After(milliseconds(Draw(kShortestPauseMs, kLongestPauseMs)), &Caller::SendNext);
  }

  void Close()
  {
    ++mLife;
    mTimer.cancel();
    asio::error_code ec;
    mSocket.close(ec);
  }

  void Reconnect()
  {
    Close();
    ConnectLater();
  }

  /// Sends what this kind of caller sends at a time.
  void SendNext()
  {
    if (!mAll.mSending || mUnanswered.size() > kMostUnanswered) {
      SendLater();
      return;
    }
    switch (mKind) {
      case CallerKind::kLasting:
        Write(TakeRequest(Draw(0, 1) == 0));
        return;
      case CallerKind::kPipelining: {
        std::string bytes;
        for (unsigned left = Draw(1, kMostPipelined - 1); left > 0; --left) {
          bytes += TakeRequest(false);
        }
        Write(bytes + TakeRequest(Draw(0, 2) == 0));
        SendLater();
        return;
      }
      case CallerKind::kSlowBody:
        mUnsent = TakeRequest(true, kLongBody);
        mPieceDelay = milliseconds(Draw(1, kLongestPauseMs));
        SendPiece();
        return;
      case CallerKind::kLeaving:
        Write(TakeRequest(Draw(0, 1) == 0));
        After(milliseconds(Draw(0, kLongestStayMs)), &Caller::Reconnect);
        return;
    }
  }

  void SendPiece()
  {
    Write(mUnsent.substr(0, kPiece));
    mUnsent.erase(0, std::min(kPiece, mUnsent.size()));
    if (!mUnsent.empty()) {
      After(mPieceDelay, &Caller::SendPiece);
    }
  }

  /// The bytes of a new request, which counts as sent.
  std::string TakeRequest(bool aUnsafe, std::size_t aBody = 1)
  {
    const std::string id = mName + "-" + std::to_string(++mNumber);
    http::Request request =
      mAll.mFleet.MakeRequest(id, Draw(0, 1) == 0, aUnsafe, Draw(0, kKeys - 1));
    if (aUnsafe) {
      request.body.assign(aBody, 'x');
      mAll.mFleet.Ledger().told.NoteOnce(id);
    }
    ++mAll.mSent;
    mUnanswered.push_back(id);
    if (mClosing) {
      ++mAll.mSentAfterClose;
      mAll.mFleet.Ledger().told.NoteBehindClose(id);
    }
    return http::Serialize(request);
  }

  void Write(std::string aBytes)
  {
    auto bytes = std::make_shared<std::string>(std::move(aBytes));
    // What ends the connection is seen by Read().
    asio::async_write(
      mSocket, asio::buffer(*bytes), [bytes](const asio::error_code&, std::size_t) {});
  }

  void Read()
  {
    mSocket.async_read_some(asio::buffer(mBuffer),
                            [self = shared_from_this(),
                             life = mLife](const asio::error_code& aError, std::size_t aBytes) {
                              if (life != self->mLife) {
                                return;
                              }
                              if (aError) {
                                self->Reconnect();
                                return;
                              }
                              self->mReader->Append({ self->mBuffer.data(), aBytes });
                              self->TakeAnswers();
                            });
  }

  void TakeAnswers()
  {
    while (mReader->Advance() == http::ReadState::kComplete) {
      if (mUnanswered.empty()) {
        mAll.mFleet.Ledger().broken.insert("a caller got an answer to no request");
        return;
      }
      NoteAnswer(mReader->TakeResponse());
    }
    Read();
  }

  void NoteAnswer(const http::Response& aResponse)
  {
    const std::string id = mUnanswered.front();
    mUnanswered.pop_front();
    ++mAll.mAnswered;
    mAll.mFleet.NoteAnswer(id, aResponse);
    if (!aResponse.keepAlive) {
      mClosing = true;
      for (const std::string& it : mUnanswered) {
        mAll.mFleet.Ledger().told.NoteBehindClose(it);
      }
    }
    if (mKind == CallerKind::kLasting && mClosing) {
      // At once, before the daemon's end of the connection arrives.
      SendNext();
    } else if (mKind == CallerKind::kLasting || mKind == CallerKind::kSlowBody) {
      mUnsent.clear();
      SendLater();
    }
  }

  FleetCallers& mAll;
  CallerKind mKind;
  unsigned mDaemon;
  std::string mName;
  Tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::unique_ptr<http::MessageReader> mReader;
  std::array<char, 16384> mBuffer{};
  /// Ids of the requests on this connection that have no answer yet.
  std::deque<std::string> mUnanswered;
  /// What is left of a request that is sent in pieces.
  std::string mUnsent;
  milliseconds mPieceDelay{ 0 };
  /// A response that closes the connection has arrived.
  bool mClosing = false;
  bool mEnded = false;
  unsigned mNumber = 0;
  /// Counts connections, so that handlers of earlier ones do nothing.
  unsigned mLife = 0;
};

FleetCallers::FleetCallers(PlatformFleet& aFleet, unsigned aDaemons, std::uint64_t aSeed)
  : mFleet(aFleet)
  , mRandom(aSeed)
{
  for (unsigned n = 0; n < aDaemons * kKinds.size(); ++n) {
    mCallers.push_back(std::make_shared<Caller>(
      *this, kKinds.at(n % kKinds.size()), n / kKinds.size(), "c" + std::to_string(n)));
  }
}

FleetCallers::~FleetCallers()
{
  for (const auto& it : mCallers) {
    it->End();
  }
}

void FleetCallers::Start()
{
  mSending = true;
  for (const auto& it : mCallers) {
    it->Connect();
  }
}

void FleetCallers::Stop()
{
  mSending = false;
}

} // namespace hawthornlug::test
