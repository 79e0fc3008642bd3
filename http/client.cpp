#include "http/client.h"

#include "core/hashing.h"
#include "http/syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/tcp.h>

namespace hawthornlug::http {

namespace {

using Tcp = asio::ip::tcp;
using SteadyPoint = std::chrono::steady_clock::time_point;

constexpr std::size_t kReadBufferBytes = 16384;
constexpr std::chrono::seconds kConnectTimeout{ 1 };
/// Bounds of the wait for a server to accept or end a new connection.
constexpr std::chrono::milliseconds kMinAcceptanceWait{ 1 };
constexpr std::chrono::milliseconds kMaxAcceptanceWait{ 20 };
/// Number of responses to other calls that are skipped while waiting for the expected one.
constexpr int kMaxSkippedResponses = 3;
/// A call with more interim responses than this is given up: each costs as much time as a whole
/// message, in few bytes.
constexpr int kMaxInterimResponses = 16;
/// An idle connection is no longer reused this long before the end of the idle timeout that the
/// server announced, so that no request is sent while the server closes the connection.
constexpr std::chrono::milliseconds kKeepAliveMargin{ 1500 };
/// Parameter of the Keep-Alive header; its value is the idle timeout in seconds.
constexpr std::string_view kTimeoutParameter = "timeout=";

/// A call may receive this multiple of the largest body: chunk sizes, trailer fields and responses
/// to other calls take no memory, but must have an end, too.
constexpr std::size_t kMaxBytesPerBodyByte = 2;

/// Number of the last calls of a connection whose values in the echo header are remembered.
constexpr std::size_t kRememberedCalls = 64;

CallResult ResultOfConnecting(const asio::error_code& aError)
{
  if (aError == asio::error::connection_refused) {
    return CallResult::kRefused;
  }
  // It was established and reset before that was noticed here.
  const bool wasReset = aError == asio::error::connection_reset;
  return wasReset ? CallResult::kNotAccepted : CallResult::kNotSent;
}

} // namespace

std::optional<Tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  asio::error_code ec;
  const auto ip = asio::ip::make_address(aAddress.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  const auto parsed = std::from_chars(aAddress.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, port);
}

/// The values in the echo header of the last calls of one connection, as hashes.
class CarriedCalls
{
public:
  void Add(const std::string& aEchoValue)
  {
    if (mHashes.size() < kRememberedCalls) {
      mHashes.push_back(HashOf(aEchoValue));
      return;
    }
    mHashes[mOldest] = HashOf(aEchoValue);
    mOldest = (mOldest + 1) % kRememberedCalls;
  }
  /// Whether a call with this value is among them. May be true of another value, by chance.
  bool Contains(const std::string& aEchoValue) const
  {
    return std::find(mHashes.begin(), mHashes.end(), HashOf(aEchoValue)) != mHashes.end();
  }

private:
  std::vector<std::uint64_t> mHashes;
  /// The place that is used again next, once there are kRememberedCalls.
  std::size_t mOldest = 0;
};

/// One connection to one address, and the call in progress on it, if any.
class Client::Connection
  : public Call
  , public std::enable_shared_from_this<Connection>
{
public:
  Connection(Client& aClient, std::string aAddress)
    : mClient(aClient)
    , mClientAlive(aClient.mAlive)
    , mAddress(std::move(aAddress))
    , mSocket(aClient.mContext)
    , mTimer(aClient.mContext)
    , mReader(MessageReader::Mode::kResponses, aClient.mReadLimits)
  {
  }

  void Start(const Request& aRequest, const CallOptions& aOptions, Completion aDone)
  {
    mOptions = aOptions;
    if (!aOptions.echoHeader.empty()) {
      mCarried.Add(aOptions.echoValue);
    }
    mCompletion = std::move(aDone);
    mRequestBytes = Serialize(aRequest);
    if (aRequest.method == "HEAD") {
      mReader.ExpectHeadResponse();
    }
    mSkippedResponses = 0;
    mInterimResponses = 0;
    mReceivedBytes = 0;
    mWritten = false;
    mDeadline = std::chrono::steady_clock::now() + aOptions.timeout;
    if (mConnected) {
      mReused = true;
      Write();
      ArmTimer(mDeadline);
      return;
    }
    Connect();
  }

  /// Ends a call whose request can't be written, without a connection.
  void Reject(Completion aDone)
  {
    mCompletion = std::move(aDone);
    asio::post(mClient.mContext, [self = shared_from_this()] { self->Fail(CallResult::kNotSent); });
  }

  void Cancel() override
  {
    mCompletion = nullptr;
    Abort();
  }

  bool IsUsable(SteadyPoint aNow, Duration aMaxIdle) const
  {
    return !mClosed && aNow - mIdleSince <= aMaxIdle && aNow < mReusableUntil;
  }

  /// Whether a copy of an answer that came on this connection could be taken for the answer to a
  /// call with these options.
  bool HasCarried(const CallOptions& aOptions) const
  {
    return !aOptions.echoHeader.empty() && mCarried.Contains(aOptions.echoValue);
  }

  void Close()
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    asio::error_code ec;
    mTimer.cancel();
    mSocket.close(ec);
    EndReceiving();
    if (*mClientAlive) {
      const auto it = mClient.mIdle.find(mAddress);
      if (it != mClient.mIdle.end()) {
        std::erase(it->second, shared_from_this());
      }
    }
  }

  /// Ends the call because responses take too much memory.
  void GiveUp() { Fail(CallResult::kTooLarge); }

private:
  /// Closes the connection with a TCP reset, so that bytes still in the send buffer are not
  /// delivered to the server later.
  void Abort()
  {
    if (!mClosed) {
      asio::error_code ec;
      mSocket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    Close();
  }

  void Connect()
  {
    const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(mAddress);
    if (!endpoint) {
      asio::post(mClient.mContext,
                 [self = shared_from_this()] { self->Fail(CallResult::kNotSent); });
      return;
    }
    mConnectingSince = std::chrono::steady_clock::now();
    ArmTimer(std::min<SteadyPoint>(mDeadline, mConnectingSince + kConnectTimeout));
    mSocket.async_connect(*endpoint, [self = shared_from_this()](const asio::error_code& aError) {
      self->OnConnected(aError);
    });
  }

  void OnConnected(const asio::error_code& aError)
  {
    if (mClosed) {
      return;
    }
    if (aError) {
      Fail(ResultOfConnecting(aError));
      return;
    }
    mConnected = true;
    asio::error_code ec;
    mSocket.set_option(Tcp::no_delay(true), ec);
    Read();
    if (mOptions.awaitAcceptance) {
      AwaitAcceptance();
      return;
    }
    ArmTimer(mDeadline);
    Write();
  }

  /// Writes the request once the server has had the time to end the connection.
  void AwaitAcceptance()
  {
    const SteadyPoint now = std::chrono::steady_clock::now();
    const auto wait = std::clamp<SteadyPoint::duration>(
      now - mConnectingSince, kMinAcceptanceWait, kMaxAcceptanceWait);
    mTimer.expires_at(std::min(mDeadline, now + wait));
    mTimer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      if (aError || self->mClosed) {
        return;
      }
      if (std::chrono::steady_clock::now() >= self->mDeadline) {
        self->Fail(CallResult::kNotSent);
        return;
      }
      if (self->HasEnded()) {
        self->Fail(CallResult::kNotAccepted);
        return;
      }
      self->ArmTimer(self->mDeadline);
      self->Write();
    });
  }

  /// Whether the server has ended the connection, even if that has not been read yet: a process
  /// that was held up finds the end of the wait and the end of the connection at the same moment.
  bool HasEnded()
  {
    char next = 0;
    asio::error_code ec;
    mSocket.non_blocking(true, ec);
    mSocket.receive(asio::buffer(&next, sizeof(next)), Tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block;
  }

  void Write()
  {
    mSending = true;
    mWritten = true;
    asio::async_write(mSocket,
                      asio::buffer(mRequestBytes),
                      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
                        self->mSending = false;
                        if (self->mClosed) {
                          return;
                        }
                        if (aError) {
                          self->Fail(CallResult::kBroken);
                        }
                      });
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t aBytes) {
        self->OnRead(aError, aBytes);
      });
  }

  void OnRead(const asio::error_code& aError, std::size_t aBytes)
  {
    if (mClosed) {
      return;
    }
    const bool idle = !mCompletion;
    if (idle) {
      // No response is expected on an idle connection: either it has ended, or the server sent
      // bytes that belong to no call. In both cases it must not be reused.
      Close();
      return;
    }
    if (!mWritten) {
      // A server sends nothing before it has got a request, so bytes end the connection too.
      Fail(CallResult::kNotAccepted);
      return;
    }
    if (aError) {
      const bool ended = aError == asio::error::eof && mReader.HasHeader() &&
                         mReader.Finish() == ReadState::kComplete;
      if (ended && HandleResponse(false)) {
        return;
      }
      if (!mClosed) {
        Fail(CallResult::kBroken);
      }
      return;
    }
    mReceivedBytes += aBytes;
    if (mReceivedBytes > mClient.MaxReceivedBytes()) {
      Fail(CallResult::kTooLarge);
      return;
    }
    mReader.Append({ mBuffer.data(), aBytes });
    if (ParseResponses()) {
      return;
    }
    CountReceived();
    if (!mClosed) {
      Read();
    }
  }

  /// Counts the bytes of a response that has been received in part. This may end the call.
  void CountReceived()
  {
    if (!mCompletion || !*mClientAlive) {
      return;
    }
    if (mAnswer == 0) {
      mAnswer = ++mClient.mLastAnswer;
      mClient.mReceiving[mAnswer] = weak_from_this();
    }
    mClient.mHeldAnswers.Update(mAnswer, mAddress, mReader.BufferedBytes());
    mClient.EnforceLimit();
  }

  void EndReceiving()
  {
    if (mAnswer != 0 && *mClientAlive) {
      mClient.mHeldAnswers.Remove(mAnswer);
      mClient.mReceiving.erase(mAnswer);
    }
    mAnswer = 0;
  }

  /// Parses the buffered bytes. Returns true if the caller must not start another read.
  bool ParseResponses()
  {
    while (true) {
      const ReadState state = mReader.Advance();
      if (state == ReadState::kNeedsMore) {
        return false;
      }
      if (state != ReadState::kComplete) {
        const bool tooLarge =
          state == ReadState::kBodyTooLarge || state == ReadState::kHeaderTooLarge;
        Fail(tooLarge ? CallResult::kTooLarge : CallResult::kBroken);
        return true;
      }
      if (HandleResponse(true)) {
        // Reading continues on an idle connection, to detect that the server closes it.
        return mClosed;
      }
      if (mClosed) {
        return true;
      }
    }
  }

  /// Processes one complete response. Returns false if it is an interim response or belongs to
  /// another call. If @p aMayKeep is false, the connection is closed even after a valid response.
  bool HandleResponse(bool aMayKeep)
  {
    Response response = mReader.TakeResponse();
    if (IsInterim(response.status)) {
      if (++mInterimResponses > kMaxInterimResponses) {
        Fail(CallResult::kBroken);
      }
      return false;
    }
    const auto echo =
      mOptions.echoHeader.empty() ? std::nullopt : response.headers.Find(mOptions.echoHeader);
    if (echo && *echo != mOptions.echoValue) {
      mOutOfSync = true;
      if (++mSkippedResponses > kMaxSkippedResponses) {
        Fail(CallResult::kBroken);
      }
      return false;
    }
    const bool isLast =
      !mOptions.lastHeader.empty() && response.headers.Find(mOptions.lastHeader).has_value();
    const bool keep =
      aMayKeep && response.keepAlive && !isLast && !mOutOfSync && mReader.Buffered() == 0;
    UpdateReusableUntil(response);
    // A response that arrives before the request is fully sent is delivered at once, but the
    // connection is not kept.
    Finish(std::move(response), keep && !mSending);
    return true;
  }

  /// Sets until when the connection may be reused, from the idle timeout that the Keep-Alive header
  /// of @p aResponse announces; without one, there is no such limit.
  void UpdateReusableUntil(const Response& aResponse)
  {
    mReusableUntil = SteadyPoint::max();
    const std::string_view value = aResponse.headers.Get("Keep-Alive");
    const std::size_t at = value.find(kTimeoutParameter);
    if (at == std::string_view::npos) {
      return;
    }
    int timeout = 0;
    std::from_chars(
      value.data() + at + kTimeoutParameter.size(), value.data() + value.size(), timeout);
    mReusableUntil =
      std::chrono::steady_clock::now() + std::chrono::seconds(timeout) - kKeepAliveMargin;
  }

  void Finish(Response aResponse, bool aKeep)
  {
    CallOutcome outcome;
    outcome.result = CallResult::kAnswered;
    outcome.response = std::move(aResponse);
    outcome.reused = mReused;
    outcome.responseBegan = true;
    const Completion done = std::move(mCompletion);
    mCompletion = nullptr;
    mTimer.cancel();
    EndReceiving();
    if (!aKeep || !*mClientAlive) {
      Close();
    } else {
      mIdleSince = std::chrono::steady_clock::now();
      std::vector<std::shared_ptr<Connection>>& idle = mClient.mIdle[mAddress];
      idle.push_back(shared_from_this());
      if (idle.size() > mOptions.keep) {
        const auto oldest = idle.front();
        oldest->Close();
      }
    }
    done(std::move(outcome));
  }

  void Fail(CallResult aResult)
  {
    const Completion done = std::move(mCompletion);
    mCompletion = nullptr;
    Abort();
    if (done) {
      CallOutcome outcome;
      outcome.result = aResult;
      outcome.reused = mReused;
      outcome.responseBegan = mReceivedBytes > 0;
      done(std::move(outcome));
    }
  }

  void ArmTimer(SteadyPoint aAt)
  {
    mTimer.expires_at(aAt);
    mTimer.async_wait([self = shared_from_this()](const asio::error_code& aError) {
      // If the timer was re-armed while this handler was already queued, it has not expired yet.
      const bool due = std::chrono::steady_clock::now() >= self->mTimer.expiry();
      if (!aError && due && self->mCompletion) {
        self->Fail(self->mWritten ? CallResult::kTimedOut : CallResult::kNotSent);
      }
    });
  }

  Client& mClient;
  std::shared_ptr<bool> mClientAlive;
  std::string mAddress;
  Tcp::socket mSocket;
  asio::steady_timer mTimer;
  MessageReader mReader;
  CallOptions mOptions;
  CarriedCalls mCarried;
  Completion mCompletion;
  std::string mRequestBytes;
  std::array<char, kReadBufferBytes> mBuffer{};
  SteadyPoint mDeadline;
  SteadyPoint mConnectingSince;
  SteadyPoint mIdleSince;
  SteadyPoint mReusableUntil = SteadyPoint::max();
  /// The response that is being received; 0 if no part of one has been.
  HeldAnswers::AnswerId mAnswer = 0;
  int mSkippedResponses = 0;
  int mInterimResponses = 0;
  /// Bytes received since the call was sent, of whatever kind.
  std::size_t mReceivedBytes = 0;
  bool mConnected = false;
  /// The call has been handed to the connection, in whole or in part.
  bool mWritten = false;
  bool mSending = false;
  bool mReused = false;
  bool mOutOfSync = false;
  bool mClosed = false;
};

Client::Client(asio::io_context& aContext, const ClientLimits& aLimits)
  : mContext(aContext)
  , mReadLimits{ aLimits.headerBytes, aLimits.bodies.one }
  , mHeldAnswers(aLimits.bodies.all)
{
}

Client::~Client()
{
  *mAlive = false;
  for (const auto& [address, idle] : mIdle) {
    for (const auto& it : idle) {
      it->Close();
    }
  }
}

std::size_t Client::MaxReceivedBytes() const
{
  return mReadLimits.headerBytes + kMaxBytesPerBodyByte * mReadLimits.bodyBytes;
}

void Client::EnforceLimit()
{
  while (const auto answer = mHeldAnswers.ToGiveUp()) {
    // Giving up ends the call, which removes the answer.
    const auto it = mReceiving.find(*answer);
    const auto connection = it == mReceiving.end() ? nullptr : it->second.lock();
    if (!connection) {
      mHeldAnswers.Remove(*answer);
      continue;
    }
    connection->GiveUp();
  }
}

std::shared_ptr<Client::Connection> Client::TakeIdle(const std::string& aAddress,
                                                     const CallOptions& aOptions)
{
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return nullptr;
  }
  std::vector<std::shared_ptr<Connection>>& idle = found->second;
  const SteadyPoint now = std::chrono::steady_clock::now();
  // The most recently used connection is the least likely to have been closed by the server.
  for (std::size_t n = idle.size(); n > 0; --n) {
    std::shared_ptr<Connection> it = idle[n - 1];
    if (!it->IsUsable(now, aOptions.maxIdle)) {
      it->Close();
      continue;
    }
    if (!it->HasCarried(aOptions)) {
      std::erase(idle, it);
      return it;
    }
  }
  return nullptr;
}

std::shared_ptr<Call> Client::Send(const std::string& aAddress,
                                   const Request& aRequest,
                                   const CallOptions& aOptions,
                                   Completion aDone)
{
  if (!IsWellFormed(aRequest)) {
    const auto it = std::make_shared<Connection>(*this, aAddress);
    it->Reject(std::move(aDone));
    return it;
  }
  std::shared_ptr<Connection> it =
    aOptions.freshConnection ? nullptr : TakeIdle(aAddress, aOptions);
  if (!it) {
    it = std::make_shared<Connection>(*this, aAddress);
  }
  it->Start(aRequest, aOptions, std::move(aDone));
  return it;
}

} // namespace hawthornlug::http
