/// @file
/// Calls to the backend servers of range services (each server owns key ranges) and of services
/// whose servers all serve any key.
#pragma once

#include "core/execution_record.h"
#include "core/instant.h"
#include "http/call.h"
#include "http/message.h"
#include "ownership/grant_commands.h"
#include "routing/forward_result.h"
#include "routing/server_notices.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hawthornlug {

/// The result of forwarding a request to a server.
struct ForwardOutcome
{
  ForwardResult result = ForwardResult::kUnreachable;
  /// What the result rests on if the server answered.
  AnswerGround ground = AnswerGround::kNone;
  http::Response response;
  /// The server's load as the answer states it, if it does.
  std::optional<LoadReport> load;
  /// What the answer states about the server; empty if there is no answer of this server.
  ServerNotice notice;
  /// The request was sent over a connection that had carried earlier requests.
  bool reused = false;
  /// The server has begun to answer, or has sent what is no answer.
  bool answerBegan = false;
};

/// The server that a request is forwarded to, the time limit and the use of pooled connections.
struct ForwardTerms
{
  std::string address;
  /// Instance id of the server process that the request is meant for; another process at the same
  /// address must not execute it.
  std::string instance;
  /// Time left for the server to answer: its deadline for the request and the timeout of the call.
  Duration timeLeft = Duration::zero();
  /// Pooled connections that have been idle for longer than this are not reused.
  Duration maxIdle = Duration::zero();
  /// Sends the request on a new connection: the server has answered it before, and may write that
  /// answer once more on the connection that carried it.
  bool freshConnection = false;
  /// Sends the request on a new connection only once the server has had the time to end it, as one
  /// with too many connections does: what was not sent has not run.
  bool awaitAcceptance = false;
  /// Maximum number of idle connections to the server that are kept in the pool.
  unsigned keep = 1;
  /// Removes the headers that identify the caller. The server is told @ref organisation instead.
  bool replacesIdentity = false;
  /// The caller's organisation; empty for none.
  std::string organisation;
};

/// The result of a health check.
struct HealthReport
{
  /// The server answered within the timeout.
  bool answered = false;
  /// The connection was refused: no process listens at the address.
  bool refusedPort = false;
  bool healthy = false;
  /// Instance id of the server process that answered.
  std::string instance;
  std::optional<LoadReport> load;
  /// Time until the server has warmed up, if the answer states it.
  std::optional<Duration> warmUpLeft;
  /// What the answer states about the server.
  ServerNotice notice;
};

/// Asynchronous calls, made on the daemon's event loop. Each completion is called once, and not
/// before the call that it belongs to has returned.
class BackendPort
{
public:
  using ForwardDone = std::function<void(ForwardOutcome)>;
  using CommandDone = std::function<void(CommandOutcome)>;
  using HealthDone = std::function<void(HealthReport)>;

  virtual ~BackendPort() = default;

  /// Forwards @p aRequest, once for each permit. The returned handle must be cancelled with
  /// Cancel() to give up the request; destroying the handle is not enough. A cancelled request's
  /// completion is not called.
  virtual std::shared_ptr<http::Call> Forward(const http::Request& aRequest,
                                              const ForwardTerms& aTerms,
                                              AttemptPermit aPermit,
                                              ForwardDone aDone) = 0;
  /// Sends a server the command that grants it a key range.
  virtual void Grant(const GrantCommand& aOrder, Duration aTimeout, CommandDone aDone) = 0;
  /// Sends a server the command to release a key range.
  virtual void Release(const ReleaseCommand& aOrder, Duration aTimeout, CommandDone aDone) = 0;
  /// Requests the health-check path @p aPath of the server at @p aAddress.
  virtual void CheckHealth(const std::string& aAddress,
                           const std::string& aPath,
                           Duration aTimeout,
                           HealthDone aDone) = 0;
};

} // namespace hawthornlug
