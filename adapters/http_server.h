/// @file
/// Backend servers over HTTP.
#pragma once

#include "adapters/http_loop.h"
#include "ports/server_port.h"

#include <memory>

namespace hawthornlug {

/// ServerPort on the HTTP engine. docs/PROTOCOLS.md says what it expects of a server.
class HttpServer : public ServerPort
{
public:
  HttpServer(HttpLoop& aLoop, const ServerAddress& aAddress);

  void Fence(const FenceServer& aCall, const DaemonRef& aDaemon, ReplyDone aDone) override;
  void Grant(const GrantServer& aCall, ReplyDone aDone) override;
  std::shared_ptr<http::Call> Send(const Order& aOrder,
                                   const SendTerms& aTerms,
                                   SendDone aDone) override;
  void Cancel(const std::string& aRequestId) override;

private:
  void Control(const std::string& aPath, std::string aBody, CallNumber aNumber, ReplyDone aDone);
  http::Request MakeRequest(const Order& aOrder, const SendTerms& aTerms) const;

  HttpLoop& mLoop;
  const ServerAddress mAddress;
  /// Like "1.2.3.4:80".
  const std::string mHostPort;
};

class HttpServerFactory : public ServerPortFactory
{
public:
  explicit HttpServerFactory(HttpLoop& aLoop)
    : mLoop(aLoop)
  {
  }

  std::unique_ptr<ServerPort> Make(const ServerAddress& aAddress) override;

private:
  HttpLoop& mLoop;
};

} // namespace hawthornlug
