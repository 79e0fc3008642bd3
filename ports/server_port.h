/// @file
/// One backend server.
#pragma once

#include "http/call.h"
#include "ownership/cell_actions.h"
#include "routing/order.h"

#include <functional>
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
  Duration timeout = Duration::zero();
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

/// Asynchronous calls; safe to use from any thread. Completions are called once, on the port's own
/// thread and never before the call returns, so they must not block.
class ServerPort
{
public:
  using ReplyDone = std::function<void(const ServerReply&)>;
  using SendDone = std::function<void(SendAnswer)>;

  virtual ~ServerPort() = default;

  /// Presents a token. A server that checks no tokens only tells its incarnation and clock.
  virtual void Fence(const FenceServer& aCall, const DaemonRef& aDaemon, ReplyDone aDone) = 0;
  virtual void Grant(const GrantServer& aCall, ReplyDone aDone) = 0;
  /// Sends an order. Cancelling it closes its connection and completes it without an answer.
  virtual std::shared_ptr<http::Call> Send(const Order& aOrder,
                                           const SendTerms& aTerms,
                                           SendDone aDone) = 0;
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
