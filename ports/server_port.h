/// @file
/// One backend server.
#pragma once

#include "ownership/cell_actions.h"
#include "routing/order.h"

#include <memory>

namespace hawthornlug {

/// How sending an order to a server came out.
enum class SendResult
{
  kAnswered,
  kRefused,     ///< The server refused it before it ran.
  kShed,        ///< The server refused it because it is overloaded.
  kUnreachable, ///< Nothing was sent.
  kNoAnswer,    ///< Sent; it may have run.
};
inline constexpr EnumNames<5> kSendResultNames = { "answered",
                                                   "refused",
                                                   "shed",
                                                   "unreachable",
                                                   "no-answer" };

/// The grant under which an order is sent.
struct SendTerms
{
  ShardId shard = 0;
  Epoch epoch = 0;
  FencingToken token = 0;
  Incarnation incarnation = 0;
  /// The order must not start later, by the server's clock.
  ServerInstant deadline = 0;
  /// How long to wait for the answer.
  Duration patience = Duration::zero();
  TraceContext span;
};

/// A server's answer to an order.
struct SendAnswer
{
  SendResult result = SendResult::kUnreachable;
  int status = 0;
  HeaderFields headers;
  std::string body;
};

/// Blocking calls; safe to use from any thread.
class ServerPort
{
public:
  virtual ~ServerPort() = default;

  /// Presents a token. A server that checks no tokens only tells its incarnation and clock.
  virtual ServerReply Fence(const FenceServer& aCall, const DaemonRef& aDaemon) = 0;
  virtual ServerReply Grant(const GrantServer& aCall) = 0;
  virtual SendAnswer Send(const Order& aOrder, const SendTerms& aTerms) = 0;
  /// Tells the server that nobody waits for this request any more.
  virtual void Cancel(const std::string& aRequestId) = 0;
};

/// How to reach a server.
struct ServerAddress
{
  std::string id;
  std::string url;
  bool checked = true;
  std::uint32_t connections = 1;
};

class ServerPortFactory
{
public:
  virtual ~ServerPortFactory() = default;
  virtual std::unique_ptr<ServerPort> Make(const ServerAddress& aAddress) = 0;
};

} // namespace hawthornlug
