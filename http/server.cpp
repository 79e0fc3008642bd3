#include "http/server.h"

#include "http/promise.h"
#include "http/syntax.h"

#include <algorithm>
#include <array>
#include <deque>

namespace hawthornlug::http {

namespace {

using Tcp = asio::ip::tcp;
using SteadyPoint = std::chrono::steady_clock::time_point;

constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadBufferBytes = 16384;
/// Maximum number of unanswered pipelined requests of one connection.
constexpr std::size_t kMaxPipelined = 16;
/// A connection that buffers no more than this many bytes is not refused when memory is short, so
/// that small requests are still served.
constexpr std::size_t kSmallBufferBytes = 65536;
/// Responses may take one part in this many of the limit for requests and responses.
constexpr std::size_t kResponsePart = 2;
constexpr std::chrono::milliseconds kTimeoutCheckInterval{ 100 };
constexpr int kRequestTimeout = 408;
/// How long a connection that is being closed is still read, so that its last response isn't lost.
constexpr std::chrono::seconds kLingerTimeout{ 1 };
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

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

/// A response after which the connection is closed.
Response MakeFailure(int aStatus)
{
  Response response;
  response.status = aStatus;
  response.keepAlive = false;
  return response;
}

} // namespace

/// Connection of one caller.
class Server::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Server& aServer, Tcp::socket aSocket)
    : mServer(aServer)
    , mSocket(std::move(aSocket))
    , mReader(MessageReader::Mode::kRequests, aServer.mLimits.read)
    , mLastActivityAt(std::chrono::steady_clock::now())
  {
  }

  void Start()
  {
    asio::error_code ec;
    mSocket.set_option(Tcp::no_delay(true), ec);
    mSocket.non_blocking(true, ec);
    const Tcp::endpoint remote = mSocket.remote_endpoint(ec);
    if (!ec) {
      mSenderIp = remote.address().to_string();
    }
    Read();
  }

  void CheckTimeouts(SteadyPoint aNow)
  {
    if (mLingering) {
      if (aNow - mLastActivityAt > kLingerTimeout) {
        Close();
      }
      return;
    }
    if (mWriting && aNow - mLastActivityAt > mServer.mLimits.idleTimeout) {
      CloseUnread();
      return;
    }
    if (mBodyUntil && aNow > *mBodyUntil) {
      Refuse(kRequestTimeout, ReadState::kNeedsMore);
      return;
    }
    if (!mPending.empty() || mWriting) {
      return;
    }
    if (mReader.IsInMessage() && !mReader.HasHeader()) {
      if (aNow - mMessageStartedAt > mServer.mLimits.headerTimeout) {
        Refuse(kRequestTimeout, ReadState::kNeedsMore);
      }
      return;
    }
    if (aNow - mLastActivityAt > mServer.mLimits.idleTimeout) {
      if (mReader.IsInMessage()) {
        Refuse(kRequestTimeout, ReadState::kNeedsMore);
        return;
      }
      Close();
    }
  }

  /// Closes the connection because its caller has stopped reading.
  void CloseUnread()
  {
    mServer.mHandler.OnUnreadResponse(mResponseBytes);
    Close();
  }

  void Close()
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    asio::error_code ec;
    mSocket.close(ec);
    mServer.mBufferedBytes -= mBufferedBytes;
    mServer.mResponseBytes -= mResponseBytes;
    mBufferedBytes = 0;
    mResponseBytes = 0;
    // Abandoning the requests may release the last other references to this connection; `self`
    // keeps it alive.
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

  bool IsIdle() const
  {
    return mPending.empty() && !mWriting && !mLingering && !mReader.IsInMessage();
  }
  std::size_t ResponseBytes() const { return mResponseBytes; }

private:
  class PendingExchange : public Exchange
  {
  public:
    PendingExchange(std::weak_ptr<Connection> aConnection, Request aRequest)
      : mConnection(std::move(aConnection))
      , mRequest(std::move(aRequest))
      , mIsHead(mRequest.method == "HEAD")
    {
    }

    Request& Received() override { return mRequest; }

    void Respond(Response aResponse) override
    {
      if (mAnswered) {
        return;
      }
      mAnswered = true;
      mOnAbandoned = nullptr;
      const auto connection = mConnection.lock();
      if (!connection) {
        return;
      }
      if (!IsWellFormed(aResponse)) {
        connection->mServer.mHandler.OnMalformedResponse(aResponse.status);
        aResponse = MakeFailure(kBadGateway);
      }
      if (PromiseOf(aResponse.status) && !Execution().Close()) {
        connection->mServer.mHandler.OnFalsePromise(aResponse.status);
        aResponse = MakeFailure(kBadGateway);
      }
      mResponse = std::move(aResponse);
      if (!mResponse.keepAlive) {
        connection->BeginClosing();
      }
      connection->WriteNextResponse();
      connection->UpdateBufferedBytes();
      connection->mServer.EnforceResponseLimit();
    }

    std::size_t AnswersBehind() const override
    {
      const auto connection = mConnection.lock();
      return connection ? connection->AnswersBehind(this) : 0;
    }

    void SetAbandoned(Abandoned aAbandoned) override { mOnAbandoned = std::move(aAbandoned); }

    void Abandon()
    {
      const Abandoned abandoned = std::move(mOnAbandoned);
      mOnAbandoned = nullptr;
      if (abandoned) {
        abandoned();
      }
    }

    std::size_t RequestBytes() const { return mRequest.body.size(); }
    std::size_t ResponseBytes() const { return mResponse.body.size(); }
    bool IsAnswered() const { return mAnswered; }
    Response& StoredResponse() { return mResponse; }
    bool IsHead() const { return mIsHead; }

  private:
    std::weak_ptr<Connection> mConnection;
    Request mRequest;
    Response mResponse;
    Abandoned mOnAbandoned;
    bool mAnswered = false;
    bool mIsHead;
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
    if (mLingering || mClosing) {
      Read();
      return;
    }
    const SteadyPoint now = std::chrono::steady_clock::now();
    mLastActivityAt = now;
    mReadAt = now;
    if (!mReader.IsInMessage()) {
      mMessageStartedAt = now;
      mReader.SetLimits(mServer.mLimits.read);
    }
    if (HasCallerLeft()) {
      // If the event loop is late, the end of the connection has arrived together with the request.
      Close();
      return;
    }
    mReader.Append({ mBuffer.data(), aBytes });
    ProcessRequests();
    UpdateBufferedBytes();
    RefuseIfOverMemoryLimit();
    // Backpressure: if the caller sends more than can be processed, reading pauses until a response
    // has been written.
    if (mClosing || mReader.Buffered() < mServer.mLimits.read.headerBytes + kReadBufferBytes) {
      Read();
    }
  }

  /// Whether the connection has ended and nothing is left to be read.
  bool HasCallerLeft()
  {
    char byte = 0;
    asio::error_code ec;
    mSocket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block;
  }

  /// Updates the share of this connection in the server's count of buffered bytes.
  void UpdateBufferedBytes()
  {
    if (mClosed) {
      return;
    }
    std::size_t requests = mReader.BufferedBytes();
    std::size_t responses = mWritingBytes;
    for (const auto& it : mPending) {
      requests += it->RequestBytes();
      responses += it->ResponseBytes();
    }
    mServer.mBufferedBytes += requests + responses;
    mServer.mBufferedBytes -= mBufferedBytes;
    mServer.mResponseBytes += responses;
    mServer.mResponseBytes -= mResponseBytes;
    mBufferedBytes = requests + responses;
    mResponseBytes = responses;
  }

  /// Refuses a large request body that is still being received if the server is over its memory
  /// limit. No part of that request has reached the handler.
  void RefuseIfOverMemoryLimit()
  {
    if (mClosed || mServer.mBufferedBytes <= mServer.mLimits.heldBytes) {
      return;
    }
    // However many connections there are, what each may hold is within the limit all together.
    const std::size_t share = mServer.mLimits.heldBytes / mServer.mConnections.size();
    if (mReader.HasHeader() && mReader.BufferedBytes() > std::min(kSmallBufferBytes, share)) {
      Refuse(kServiceUnavailable, ReadState::kBodyTooLarge);
    }
  }

  void ProcessRequests()
  {
    while (!mClosed && !mClosing && mPending.size() < kMaxPipelined) {
      const ReadState state = mReader.Advance();
      if (state == ReadState::kNeedsMore) {
        if (mReader.ExpectsContinue() && !mContinueSent && mPending.empty() && !mWriting) {
          mContinueSent = true;
          WriteBytes(std::string(kContinueResponse), false);
        }
        LimitBody();
        return;
      }
      if (state != ReadState::kComplete) {
        Refuse(StatusOf(state), state);
        return;
      }
      mContinueSent = false;
      mBodyUntil.reset();
      auto it = std::make_shared<PendingExchange>(weak_from_this(), mReader.TakeRequest());
      it->Received().senderIp = mSenderIp;
      it->Received().receiveTime =
        std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - mMessageStartedAt);
      // What is buffered of the next request has come with the bytes that were read last.
      mMessageStartedAt = mReadAt;
      if (!it->Received().keepAlive) {
        BeginClosing();
      }
      mPending.push_back(it);
      PassToHandler(it);
      if (!mReader.IsInMessage()) {
        return;
      }
    }
  }

  /// Sets until when the body of the request that is being received is waited for.
  void LimitBody()
  {
    if (mBodyUntil || !mReader.HasHeader()) {
      return;
    }
    const std::optional<Duration> limit = mServer.mHandler.TimeLimitOf(mReader.PeekRequest());
    mBodyUntil = limit ? mMessageStartedAt + *limit : SteadyPoint::max();
  }

  /// If the handler fails, the request may still be in progress somewhere: the caller gets an
  /// answer that promises nothing.
  void PassToHandler(const std::shared_ptr<PendingExchange>& aExchange)
  {
    try {
      mServer.mHandler.OnRequest(aExchange);
    } catch (...) {
      aExchange->Respond(MakeFailure(kInternalError));
      throw;
    }
  }

  /// Decides that the connection is closed behind its pending responses. No further request is read
  /// or passed on: callers send those again that they sent behind the last response.
  void BeginClosing()
  {
    mClosing = true;
    mBodyUntil.reset();
    mReader.Discard();
  }

  /// Answers a request that can't be read or accepted with an error status, after the responses
  /// that are still pending, and closes the connection.
  void Refuse(int aStatus, ReadState aState)
  {
    if (mClosing) {
      return;
    }
    BeginClosing();
    mServer.mHandler.OnBadRequest(aStatus, aState);
    auto it = std::make_shared<PendingExchange>(weak_from_this(), Request());
    mPending.push_back(it);
    it->Respond(MakeFailure(aStatus));
    Read();
  }

  void WriteNextResponse()
  {
    if (mWriting || mClosed || mPending.empty() || !mPending.front()->IsAnswered()) {
      return;
    }
    const std::shared_ptr<PendingExchange> it = mPending.front();
    mPending.pop_front();
    if (mServer.mDraining && !mClosing) {
      BeginClosing();
    }
    Response& response = it->StoredResponse();
    response.keepAlive = !mClosing || !mPending.empty();
    WriteBytes(Serialize(response, it->IsHead()), !response.keepAlive);
  }

  void WriteBytes(std::string aBytes, bool aCloseAfterwards)
  {
    mWriting = true;
    mWritingBytes = aBytes.size();
    auto bytes = std::make_shared<std::string>(std::move(aBytes));
    const auto self = shared_from_this();
    const auto onProgress = [self](const asio::error_code& aError, std::size_t aWritten) {
      self->mLastActivityAt = std::chrono::steady_clock::now();
      return asio::transfer_all()(aError, aWritten);
    };
    asio::async_write(mSocket,
                      asio::buffer(*bytes),
                      onProgress,
                      [self, bytes, aCloseAfterwards](const asio::error_code& aError, std::size_t) {
                        self->mWriting = false;
                        self->mWritingBytes = 0;
                        self->OnWritten(aError, aCloseAfterwards);
                        self->UpdateBufferedBytes();
                      });
  }

  void OnWritten(const asio::error_code& aError, bool aCloseAfterwards)
  {
    if (mClosed) {
      return;
    }
    if (aError) {
      Close();
      return;
    }
    mLastActivityAt = std::chrono::steady_clock::now();
    if (aCloseAfterwards) {
      Linger();
      return;
    }
    WriteNextResponse();
    if (mReader.IsInMessage()) {
      ProcessRequests();
    }
    Read();
  }

  /// Shuts down the sending side and keeps reading until kLingerTimeout has passed: closing a
  /// socket with unread bytes sends a TCP reset, which could discard the last response.
  void Linger()
  {
    mLingering = true;
    asio::error_code ec;
    mSocket.shutdown(Tcp::socket::shutdown_send, ec);
    Read();
  }

  Server& mServer;
  Tcp::socket mSocket;
  MessageReader mReader;
  std::string mSenderIp;
  std::array<char, kReadBufferBytes> mBuffer{};
  std::deque<std::shared_ptr<PendingExchange>> mPending;
  /// When bytes were last received or a response was last written.
  SteadyPoint mLastActivityAt;
  /// When bytes were last received.
  SteadyPoint mReadAt;
  /// When the first byte of the request that is being received came.
  SteadyPoint mMessageStartedAt;
  /// Until when the rest of its body is waited for; set once its header has been read.
  std::optional<SteadyPoint> mBodyUntil;
  std::size_t mBufferedBytes = 0;
  /// The responses' share of mBufferedBytes.
  std::size_t mResponseBytes = 0;
  std::size_t mWritingBytes = 0;
  bool mReading = false;
  bool mWriting = false;
  bool mClosed = false;
  bool mLingering = false;
  /// Whether the connection is closed behind its pending responses; what comes is discarded.
  bool mClosing = false;
  bool mContinueSent = false;
};

Server::Server(asio::io_context& aContext, const Tcp::endpoint& aEndpoint, Handler& aHandler)
  : mAcceptor(aContext)
  , mTimeoutCheckTimer(aContext)
  , mHandler(aHandler)
{
  mAcceptor.open(aEndpoint.protocol());
  mAcceptor.set_option(Tcp::acceptor::reuse_address(true));
  mAcceptor.bind(aEndpoint);
  mAcceptor.listen(kListenBacklog);
  Accept();
  CheckTimeoutsPeriodically();
}

Server::~Server()
{
  Stop();
  *mAlive = false;
}

void Server::StopAccepting()
{
  asio::error_code ec;
  mAcceptor.close(ec);
}

void Server::Stop()
{
  StopAccepting();
  mTimeoutCheckTimer.cancel();
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

bool Server::IsIdle() const
{
  return std::all_of(
    mConnections.begin(), mConnections.end(), [](const auto& aIt) { return aIt->IsIdle(); });
}

void Server::EnforceResponseLimit()
{
  while (mResponseBytes > mLimits.heldBytes / kResponsePart) {
    const auto largest = std::max_element(
      mConnections.begin(), mConnections.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft->ResponseBytes() < aRight->ResponseBytes();
      });
    (*largest)->CloseUnread();
  }
}

void Server::Accept()
{
  mAcceptor.async_accept(
    [this, alive = mAlive](const asio::error_code& aError, Tcp::socket aSocket) {
      if (!*alive || !mAcceptor.is_open()) {
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

void Server::CheckTimeoutsPeriodically()
{
  mTimeoutCheckTimer.expires_after(kTimeoutCheckInterval);
  mTimeoutCheckTimer.async_wait([this, alive = mAlive](const asio::error_code& aError) {
    if (aError || !*alive) {
      return;
    }
    const SteadyPoint now = std::chrono::steady_clock::now();
    const auto connections = mConnections;
    for (const auto& it : connections) {
      it->CheckTimeouts(now);
    }
    CheckTimeoutsPeriodically();
  });
}

} // namespace hawthornlug::http
