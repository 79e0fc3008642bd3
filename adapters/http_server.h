/// @file
/// Backend servers over HTTP.
#pragma once

#include "adapters/http_pool.h"
#include "ports/server_port.h"

namespace hawthornlug {

/// ServerPort on cpp-httplib. docs/PROTOCOLS.md says what it expects of a server.
class HttpServer : public ServerPort
{
public:
  explicit HttpServer(const ServerAddress& aAddress);

  ServerReply Fence(const FenceServer& aCall, const DaemonRef& aDaemon) override;
  ServerReply Grant(const GrantServer& aCall) override;
  SendAnswer Send(const Order& aOrder, const SendTerms& aTerms) override;
  void Cancel(const std::string& aRequestId) override;

private:
  ServerReply Control(const std::string& aPath, const std::string& aBody, CallNumber aNumber);

  const ServerAddress mAddress;
  HttpPool mOrders;
  HttpPool mControl;
};

class HttpServerFactory : public ServerPortFactory
{
public:
  std::unique_ptr<ServerPort> Make(const ServerAddress& aAddress) override;
};

} // namespace hawthornlug
