/// @file
/// What `serve` makes of broken answers of backend servers and of the platform.

#include "adapters/http_platform.h"
#include "adapters/http_server.h"
#include "tests/support/answer_forms.h"
#include "tests/support/loopback.h"
#include "tests/support/permits.h"
#include "tests/support/server_on_thread.h"

#include <catch2/catch.hpp>

#include <future>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

constexpr Duration kTimeout = milliseconds(400);

/// Calls the port with @p aCall and waits for what it completes with.
template<typename Outcome, typename Call>
Outcome Await(const std::string& aUrl, Call aCall)
{
  HttpLoop loop;
  ServerAddress address;
  address.id = "s1";
  address.url = aUrl;
  address.connections = 4;
  HttpServer server(loop, address);
  const auto promise = std::make_shared<std::promise<Outcome>>();
  std::future<Outcome> future = promise->get_future();
  aCall(server, [promise](const Outcome& aOutcome) { promise->set_value(aOutcome); });
  REQUIRE(future.wait_for(kLongest) == std::future_status::ready);
  loop.Stop();
  return future.get();
}

SendAnswer SendOrder(const AnswerForm& aForm)
{
  const ServerOnThread server(aForm);
  return Await<SendAnswer>(server.Url(), [](HttpServer& aServer, auto aDone) {
    Order order;
    order.requestId = "r1";
    order.method = "POST";
    order.target = "/x";
    SendTerms terms;
    terms.timeout = kTimeout;
    aServer.Send(order, terms, test::MakePermit(), aDone);
  });
}

/// The form with the status of a refusal in place of 200.
AnswerForm Refusing(AnswerForm aForm)
{
  const std::string ok = "200";
  for (auto at = aForm.bytes.find(ok); at != std::string::npos; at = aForm.bytes.find(ok, at)) {
    aForm.bytes.replace(at, ok.size(), "409");
  }
  return aForm;
}

ServerReply SendFence(const AnswerForm& aForm)
{
  const ServerOnThread server(aForm);
  return Await<ServerReply>(server.Url(), [](HttpServer& aServer, auto aDone) {
    FenceServer call;
    call.token = 2;
    call.number = 1;
    aServer.Fence(call, { "d", 1 }, aDone);
  });
}

/// The error of a call to the platform, or nothing if it succeeded.
template<typename T>
std::optional<PlatformError> ErrorOf(Result<T> (*aCall)(HttpPlatform&), const AnswerForm& aForm)
{
  const ServerOnThread server(aForm);
  HttpPlatform platform(server.Url(), kTimeout);
  return leaf::try_handle_all(
    [&]() -> Result<std::optional<PlatformError>> {
      BOOST_LEAF_CHECK(aCall(platform));
      return std::optional<PlatformError>();
    },
    [](PlatformError aError) { return std::optional(aError); },
    []() -> std::optional<PlatformError> { return PlatformError::kMalformed; });
}

Result<PlatformObject> GetObject(HttpPlatform& aPlatform)
{
  return aPlatform.Get("a");
}

Result<Version> PutObject(HttpPlatform& aPlatform)
{
  return aPlatform.Put("a", 7, "x");
}

Result<ObjectChanges> WatchObjects(HttpPlatform& aPlatform)
{
  return aPlatform.Watch(7, milliseconds(50));
}

const AnswerParts kDone = { "Hawthornlug-Request-Id: r1\r\n", "done" };
const AnswerParts kRefused = { "Hawthornlug-Request-Id: r1\r\nHawthornlug-Refused: token\r\n",
                               "no" };
const AnswerParts kReply = { "Content-Type: application/json\r\n",
                             R"({"incarnation":5,"clock_us":100,"draining":false,"grants":[]})" };
const AnswerParts kObject = { "Content-Type: application/json\r\n",
                              R"({"name":"a","version":8,"value":"x"})" };
const AnswerParts kChanges = { "Content-Type: application/json\r\n",
                               R"({"revision":9,"objects":[]})" };

} // namespace

TEST_CASE("a broken answer to an order leaves its outcome unknown", "[adapters][answers]")
{
  CHECK(SendOrder({ "sound", SoundAnswer(kDone) }).result == SendResult::kAnswered);
  CHECK(SendOrder(Refusing({ "sound", SoundAnswer(kRefused) })).result == SendResult::kRefused);
  std::vector<AnswerForm> forms = BrokenAnswers(kDone);
  for (const AnswerForm& it : BrokenAnswers(kRefused)) {
    forms.push_back(Refusing(it));
  }
  for (const AnswerForm& it : forms) {
    INFO(it.name);
    const SendAnswer answer = SendOrder(it);
    CHECK(NameOf(kSendResultNames, answer.result) == "no-answer");
    CHECK(answer.headers.empty());
    CHECK(answer.body.empty());
  }
}

TEST_CASE("a broken reply to a control call is none", "[adapters][answers]")
{
  CHECK(SendFence({ "sound", SoundAnswer(kReply) }).outcome == CallOutcome::kAccepted);
  for (const AnswerForm& it : BrokenAnswers(kReply)) {
    INFO(it.name);
    const ServerReply reply = SendFence(it);
    CHECK(reply.outcome == ServerReply::NoAnswer(1).outcome);
    CHECK(reply.incarnation == 0);
  }
}

TEST_CASE("a broken answer of the platform is none, and a write with one is unknown",
          "[adapters][answers]")
{
  CHECK_FALSE(ErrorOf(&GetObject, { "sound", SoundAnswer(kObject) }));
  CHECK_FALSE(ErrorOf(&PutObject, { "sound", SoundAnswer(kObject) }));
  CHECK_FALSE(ErrorOf(&WatchObjects, { "sound", SoundAnswer(kChanges) }));
  for (const AnswerForm& it : BrokenAnswers(kObject)) {
    INFO(it.name);
    CHECK(ErrorOf(&GetObject, it) == PlatformError::kUnavailable);
    CHECK(ErrorOf(&PutObject, it) == PlatformError::kUnknown);
  }
  for (const AnswerForm& it : BrokenAnswers(kChanges)) {
    INFO(it.name);
    CHECK(ErrorOf(&WatchObjects, it) == PlatformError::kUnavailable);
  }
}

TEST_CASE("only a rejection by the platform says that a write was not made", "[adapters][answers]")
{
  struct Row
  {
    int status;
    PlatformError error;
  };
  const auto row = GENERATE(values<Row>({
    { 400, PlatformError::kUnavailable },
    { 409, PlatformError::kConflict },
    { 429, PlatformError::kUnavailable },
    { 503, PlatformError::kUnavailable },
    { 202, PlatformError::kUnknown },
    { 302, PlatformError::kUnknown },
    { 500, PlatformError::kUnknown },
    { 502, PlatformError::kUnknown },
    { 504, PlatformError::kUnknown },
  }));
  INFO(row.status);
  const std::string bytes =
    "HTTP/1.1 " + std::to_string(row.status) + " X\r\nContent-Length: 0\r\n\r\n";
  CHECK(ErrorOf(&PutObject, { "status", bytes }) == row.error);
}
