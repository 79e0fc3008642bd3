/// @file
/// How BackendCalls translates the responses of backend servers to grant and release commands.

#include "http/server.h"
#include "platform/backend_calls.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;
using namespace hawthornlug::testing;

namespace {

/// A backend server that answers every command with the same status.
class FixedStatusServer : public http::Handler
{
public:
  explicit FixedStatusServer(int aStatus)
    : mStatus(aStatus)
  {
  }
  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    http::Response response;
    response.status = mStatus;
    aExchange->Respond(response);
  }
  void OnBadRequest(int, http::ReadState) override {}

private:
  int mStatus;
};

struct Row
{
  int status;
  CommandResult grant;
  CommandResult release;
};

} // namespace

TEST_CASE("responses to commands are translated; a rejected release counts as another server's",
          "[platform]")
{
  const auto row = GENERATE(values<Row>({
    { 200, CommandResult::kDone, CommandResult::kDone },
    { 400, CommandResult::kRejected, CommandResult::kOtherServer },
    { 409, CommandResult::kSuperseded, CommandResult::kSuperseded },
    { 421, CommandResult::kOtherServer, CommandResult::kOtherServer },
    { 500, CommandResult::kNoAnswer, CommandResult::kNoAnswer },
    { 503, CommandResult::kNoAnswer, CommandResult::kNoAnswer },
  }));
  INFO(row.status);
  asio::io_context context;
  FixedStatusServer server(row.status);
  const auto endpoint = FreeEndpoint(context);
  http::Server listener(context, endpoint, server);
  Metrics metrics;
  BackendCalls calls(context, metrics);
  const std::string address = "127.0.0.1:" + std::to_string(endpoint.port());
  std::optional<CommandResult> granted;
  std::optional<CommandResult> released;
  const auto grantDone = [&](const CommandOutcome& aOutcome) { granted = aOutcome.result; };
  const auto releaseDone = [&](const CommandOutcome& aOutcome) { released = aOutcome.result; };
  calls.Grant({ address, { "a", 1 }, {}, 3, seconds(4), "" }, seconds(2), grantDone);
  calls.Release({ address, { "a", 1 }, {}, 3 }, seconds(2), releaseDone);
  CHECK(RunUntil(context, [&] { return granted && released; }));
  CHECK(granted == row.grant);
  CHECK(released == row.release);
}
