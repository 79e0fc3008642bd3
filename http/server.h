/// @file
/// Asynchronous HTTP/1.1 server.
#pragma once

#include "core/execution_record.h"
#include "core/instant.h"
#include "http/message_reader.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace hawthornlug::http {

/// One request and its response. To be used on the server's thread only.
class Exchange
{
public:
  using Abandoned = std::function<void()>;

  virtual ~Exchange() = default;

  virtual Request& Received() = 0;
  /// The attempts to have the request run. Whoever passes the request on notes them here.
  ExecutionRecord& Execution() { return mExecution; }
  /// Sends the response, if it is well-formed; to be called once. Pipelined responses are written
  /// in the order of their requests. A status that promises that the request has not run is
  /// replaced by 502 if it may have run.
  virtual void Respond(Response aResponse) = 0;
  /// Number of later requests on the same connection that have a response, which can't be written
  /// before the one to this request.
  virtual std::size_t AnswersBehind() const = 0;
  /// Sets a callback that is called if the connection closes before the request is answered.
  virtual void SetAbandoned(Abandoned aAbandoned) = 0;

private:
  ExecutionRecord mExecution;
};

/// Receives the requests of a Server. Must not block, since it is called on the server's thread.
class Handler
{
public:
  virtual ~Handler() = default;

  virtual void OnRequest(std::shared_ptr<Exchange> aExchange) = 0;
  /// How long, from its first byte, a request whose header has arrived may take until it is
  /// answered. One whose body is not there by then is answered with 408, and its connection closed.
  /// Nothing: only the limits of the server hold.
  virtual std::optional<Duration> TimeLimitOf([[maybe_unused]] const Request& aHeader)
  {
    return std::nullopt;
  }
  /// Called when a connection is answered with error status @p aStatus and closed, because its
  /// request is malformed, too large or too slow, or because memory is short.
  virtual void OnBadRequest(int aStatus, ReadState aState) = 0;
  /// Called when a connection is closed because its caller does not read its responses, of which
  /// @p aBytes are left.
  virtual void OnUnreadResponse([[maybe_unused]] std::size_t aBytes) {}
  /// Called when a response with status @p aStatus is malformed. The caller gets 502 in its place,
  /// which promises nothing, and its connection is closed.
  virtual void OnMalformedResponse([[maybe_unused]] int aStatus) {}
  /// Called when a response would promise by status @p aStatus that a request has not run which may
  /// have run. The caller gets 502 in its place, and its connection is closed.
  virtual void OnFalsePromise([[maybe_unused]] int aStatus) {}
};

/// Limits on the size, duration and number of requests and connections.
struct ServerLimits
{
  ReadLimits read;
  /// Maximum time from the first byte of a request to the end of its header.
  Duration headerTimeout = seconds(5);
  /// Maximum time without activity on a connection that has no unanswered request.
  Duration idleTimeout = seconds(30);
  /// Maximum number of open connections; further ones are closed as soon as they are accepted.
  std::size_t connections = 65536;
  /// Maximum size of the requests and responses in memory, over all connections. Above it, a
  /// connection that is sending a large body is answered with 503 and closed. If responses alone
  /// take more than half of it, the connection whose caller has most left to read is closed.
  std::size_t heldBytes = std::size_t{ 64 } << 20;
};

/// Listens on one address. All work is done on the thread that runs the given context.
class Server
{
public:
  /// Throws asio::system_error if @p aEndpoint can't be listened on.
  Server(asio::io_context& aContext, const asio::ip::tcp::endpoint& aEndpoint, Handler& aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void SetLimits(const ServerLimits& aLimits) { mLimits = aLimits; }
  const ServerLimits& Limits() const { return mLimits; }
  /// From now on, each connection passes on no further request once it begins to write a response,
  /// and is closed behind the responses to those that it has passed on.
  void Drain() { mDraining = true; }
  bool IsDraining() const { return mDraining; }
  /// Closes the listening socket; existing connections are still served.
  void StopAccepting();
  /// Number of requests without a response, plus the responses that are being written.
  std::size_t Unanswered() const;
  /// Whether the server can end without cutting anything off: no request is being received or
  /// waits for its response, and no last response is still on its way to its caller.
  bool IsIdle() const;
  /// Size of the requests and responses in memory, in bytes.
  std::size_t BufferedBytes() const { return mBufferedBytes; }
  /// Closes the listening socket and all connections; abandons unanswered requests.
  void Stop();

  class Connection;

private:
  void Accept();
  void CheckTimeoutsPeriodically();
  /// Closes connections whose callers don't read until the responses are within the limit.
  void EnforceResponseLimit();

  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mTimeoutCheckTimer;
  Handler& mHandler;
  ServerLimits mLimits;
  bool mDraining = false;
  std::size_t mBufferedBytes = 0;
  /// The responses' share of mBufferedBytes.
  std::size_t mResponseBytes = 0;
  std::unordered_set<std::shared_ptr<Connection>> mConnections;
  /// False once the server is destroyed. Shared with the pending handlers, which may run later.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace hawthornlug::http
