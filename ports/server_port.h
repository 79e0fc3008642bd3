/// @file
/// Calls to one backend server that owns shards.
#pragma once

#include "core/execution_record.h"
#include "http/call.h"
#include "ownership/cell_actions.h"
#include "routing/order.h"

#include <functional>
#include <memory>

namespace hawthornlug {

/// The result of sending an order (a caller's request) to a server.
enum class SendResult
{
  kAnswered,
  kRefused,     ///< The server refused the order; it was not executed.
  kShed,        ///< The server refused the order because it is overloaded (load shedding).
  kUnreachable, ///< Nothing was sent.
  kNoAnswer,    ///< The order was sent and may have been executed.
};
inline constexpr EnumNames<5> kSendResultNames = { "answered",
                                                   "refused",
                                                   "shed",
                                                   "unreachable",
                                                   "no-answer" };

/// What an attempt that ended like this says of whether its order has run.
constexpr AttemptEvidence EvidenceOf(SendResult aResult)
{
  switch (aResult) {
    case SendResult::kUnreachable:
      return AttemptEvidence::kNothingWritten;
    case SendResult::kRefused:
    case SendResult::kShed:
      return AttemptEvidence::kRefused;
    case SendResult::kAnswered:
    case SendResult::kNoAnswer:
      break;
  }
  return AttemptEvidence::kMayHaveRun;
}

/// What an order is sent with: the grant that covers it, its deadline and its span.
struct SendTerms
{
  ShardId shard = 0;
  Epoch epoch = 0;
  FencingToken token = 0;
  Incarnation incarnation = 0;
  /// The server must not start the order after this time on its own clock.
  ServerInstant deadline = 0;
  /// How long to wait for the answer.
  Duration timeout = Duration::zero();
  TraceContext span;
};

/// A server's answer to an order.
struct SendAnswer
{
  SendResult result = SendResult::kNoAnswer;
  int status = 0;
  HeaderFields headers;
  std::string body;
};

/// Asynchronous calls; safe to use from any thread. Each completion is called once, on the port's
/// own thread, so it must not block, and not before the call that it belongs to has returned.
class ServerPort
{
public:
  using ReplyDone = std::function<void(const ServerReply&)>;
  using SendDone = std::function<void(SendAnswer)>;

  virtual ~ServerPort() = default;

  /// Presents a fencing token to the server, which then rejects lower ones. A server that does not
  /// check tokens only returns its incarnation and the reading of its clock.
  virtual void Fence(const FenceServer& aCall, const DaemonRef& aDaemon, ReplyDone aDone) = 0;
  /// Renews the server's lease and changes the shards that are granted to it.
  virtual void Grant(const GrantServer& aCall, ReplyDone aDone) = 0;
  /// Sends an order, once for each permit. Cancelling the returned call closes its connection and
  /// completes it with SendResult::kNoAnswer.
  virtual std::shared_ptr<http::Call> Send(const Order& aOrder,
                                           const SendTerms& aTerms,
                                           AttemptPermit aPermit,
                                           SendDone aDone) = 0;
  /// Notifies the server that the caller no longer waits for the answer to this request.
  virtual void Cancel(const std::string& aRequestId) = 0;
};

/// How to connect to a server and call it.
struct ServerAddress
{
  std::string id;
  std::string url;
  /// Whether the server checks fencing tokens, grants and deadlines.
  bool checked = true;
  /// Maximum number of idle connections to the server that are kept in the pool.
  std::uint32_t connections = 1;
};

/// Creates the port of a server.
class ServerPortFactory
{
public:
  virtual ~ServerPortFactory() = default;
  virtual std::unique_ptr<ServerPort> Make(const ServerAddress& aAddress) = 0;
};

} // namespace hawthornlug
