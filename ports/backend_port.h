/// @file
/// Calls to backend servers that own key ranges or serve any key.
#pragma once

#include "core/instant.h"
#include "http/call.h"
#include "http/message.h"
#include "ownership/grant_commands.h"
#include "routing/forward_result.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hawthornlug {

struct ForwardOutcome
{
  ForwardResult result = ForwardResult::kUnreachable;
  http::Response response;
  std::optional<LoadReport> load;
  /// The connection had been used before.
  bool reused = false;
};

/// What is forwarded, and to whom.
struct ForwardTerms
{
  std::string address;
  /// Only this instance may run the request.
  std::string instance;
  /// Time that the server is given.
  Duration timeLeft = Duration::zero();
  /// Kept connections that were idle for longer are not used.
  Duration maxIdle = Duration::zero();
  /// Connections to the server that are kept when they are idle.
  unsigned keep = 1;
};

/// A server's answer to a health check.
struct HealthReport
{
  bool answered = false;
  /// Nothing listens at the address.
  bool refusedPort = false;
  bool healthy = false;
  std::string instance;
  std::optional<LoadReport> load;
  /// How much longer it is cold, if it says so.
  std::optional<Duration> warmUpLeft;
};

/// Asynchronous calls on the daemon's loop; completions are called once, never before the call
/// returns.
class BackendPort
{
public:
  using ForwardDone = std::function<void(ForwardOutcome)>;
  using CommandDone = std::function<void(CommandOutcome)>;
  using HealthDone = std::function<void(HealthReport)>;

  virtual ~BackendPort() = default;

  /// Forwards @p aRequest; letting go of it needs Cancel() on what is returned.
  virtual std::shared_ptr<http::Call> Forward(const http::Request& aRequest,
                                              const ForwardTerms& aTerms,
                                              ForwardDone aDone) = 0;
  virtual void Grant(const GrantCommand& aOrder, Duration aTimeout, CommandDone aDone) = 0;
  virtual void Release(const ReleaseCommand& aOrder, Duration aTimeout, CommandDone aDone) = 0;
  virtual void CheckHealth(const std::string& aAddress,
                           const std::string& aPath,
                           Duration aTimeout,
                           HealthDone aDone) = 0;
};

} // namespace hawthornlug
