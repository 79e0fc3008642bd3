/// @file
/// The asynchronous HTTP/1.1 server.
#pragma once

#include "core/instant.h"
#include "http/message_reader.h"

#include <asio.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace hawthornlug::http {

/// One request and the place for its answer. Used on the server's thread only.
class Exchange
{
public:
  using Abandoned = std::function<void()>;

  virtual ~Exchange() = default;

  virtual Request& Received() = 0;
  /// Answers; called once. Answers leave in the order of their requests.
  virtual void Respond(Response aResponse) = 0;
  /// Number of later requests of the connection whose answers wait for this one's.
  virtual std::size_t AnswersBehind() const = 0;
  /// Sets what to do if the caller leaves before it is answered.
  virtual void SetAbandoned(Abandoned aAbandoned) = 0;
};

/// Takes requests; must not block.
class Handler
{
public:
  virtual ~Handler() = default;

  virtual void OnRequest(std::shared_ptr<Exchange> aExchange) = 0;
  /// A connection sent what is no request, and was answered with @p aStatus and closed.
  virtual void OnBadRequest(int aStatus, ReadState aState) = 0;
};

/// Bounds on what callers may send and how long they may take.
struct ServerLimits
{
  ReadLimits read;
  Duration headerTimeout = seconds(5);
  Duration idleTimeout = seconds(30);
  /// Connections at a time; further ones are closed at once.
  std::size_t connections = 65536;
  /// Bytes of requests and answers in memory, of all connections; beyond it, whoever sends a large
  /// body is answered 503 and closed.
  std::size_t heldBytes = std::size_t{ 64 } << 20;
};

/// Listens on one address. Everything runs on the thread of the given context.
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
  /// From now on each answer closes its connection.
  void Drain() { mDraining = true; }
  bool IsDraining() const { return mDraining; }
  /// Takes no new connections; those that stand are served on.
  void StopAccepting();
  /// Number of requests that wait for their answers.
  std::size_t Unanswered() const;
  /// Bytes of requests and answers in memory.
  std::size_t HeldBytes() const { return mHeldBytes; }
  /// Closes everything.
  void Stop();

  class Connection;

private:
  void Accept();
  void Sweep();

  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mSweepTimer;
  Handler& mHandler;
  ServerLimits mLimits;
  bool mDraining = false;
  std::size_t mHeldBytes = 0;
  std::unordered_set<std::shared_ptr<Connection>> mConnections;
};

} // namespace hawthornlug::http
