/// @file
/// Access to backend servers over HTTP.
#pragma once

#include "adapters/http_loop.h"
#include "ports/server_port.h"

#include <memory>

namespace hawthornlug {

/// ServerPort that uses http::Client. docs/PROTOCOLS.md describes the protocol that a server must
/// implement.
class HttpServer : public ServerPort
{
public:
  HttpServer(HttpLoop& aLoop, const ServerAddress& aAddress);

  void Fence(const FenceServer& aCall, const DaemonRef& aDaemon, ReplyDone aDone) override;
  void Grant(const GrantServer& aCall, ReplyDone aDone) override;
  std::shared_ptr<http::Call> Send(const Order& aOrder,
                                   const SendTerms& aTerms,
                                   AttemptPermit aPermit,
                                   SendDone aDone) override;
  void Cancel(const std::string& aRequestId) override;

private:
  /// POSTs a control call with JSON body @p aBody. @p aDone may be empty.
  void PostControl(const std::string& aPath,
                   std::string aBody,
                   CallNumber aNumber,
                   ReplyDone aDone);
  http::Request MakeRequest(const Order& aOrder, const SendTerms& aTerms) const;

  HttpLoop& mLoop;
  const ServerAddress mAddress;
  /// Address and port of the server, such as "1.2.3.4:80".
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
