/// @file
/// An HTTP server for stand-ins that writes what it is told, also what is no HTTP.
#pragma once

#include "http/server.h"

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace hawthornlug::testing {

/// As http::Server, but for what the product's server refuses to write. It answers one request at a
/// time on each connection and has no limits.
class RawServer
{
public:
  RawServer(asio::io_context& aContext,
            const asio::ip::tcp::endpoint& aEndpoint,
            http::Handler& aHandler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// Answers a request that a raw server has received with @p aBytes, whatever they are; ends the
  /// connection afterwards if @p aEnds is set.
  static void Write(http::Exchange& aExchange, std::string aBytes, bool aEnds);
  /// Resets the connection of a request that a raw server has received.
  static void Reset(http::Exchange& aExchange);
  /// Writes bytes on the connection of a request some time later, whatever else is written there.
  static void WriteLater(http::Exchange& aExchange,
                         std::string aBytes,
                         std::chrono::milliseconds aDelay);
  /// New connections are reset as soon as they are accepted.
  void SetResetsNew(bool aResets) { mResetsNew = aResets; }
  /// Address and port, such as "127.0.0.1:80".
  std::string Address() const;
  std::size_t Accepted() const { return mAccepted; }
  /// Connections that are open, as far as the server knows.
  std::size_t Open() const { return mConnections.size(); }
  /// Closes the listening socket and all connections.
  void Stop();

private:
  class Connection;
  class RawExchange;

  void Accept();

  asio::ip::tcp::acceptor mAcceptor;
  http::Handler& mHandler;
  std::set<std::shared_ptr<Connection>> mConnections;
  std::size_t mAccepted = 0;
  bool mResetsNew = false;
  /// False once the server is destroyed. Shared with the pending handlers, which may run later.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

/// Answers all requests with the same bytes.
class FixedAnswer : public http::Handler
{
public:
  FixedAnswer(std::string aBytes, bool aEnds)
    : mBytes(std::move(aBytes))
    , mEnds(aEnds)
  {
  }
  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    ++requests;
    RawServer::Write(*aExchange, mBytes, mEnds);
  }
  void OnBadRequest(int, http::ReadState) override {}

  std::size_t requests = 0;

private:
  std::string mBytes;
  bool mEnds;
};

} // namespace hawthornlug::testing
