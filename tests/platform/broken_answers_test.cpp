/// @file
/// What the parts that call backend servers and the store make of answers that are broken: none of
/// them is taken for an answer, nor for a statement that nothing was done.

#include "platform/backend_calls.h"
#include "platform/store_client.h"
#include "tests/support/answer_forms.h"
#include "tests/support/loopback.h"
#include "tests/support/permits.h"
#include "tests/support/raw_server.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;
using namespace hawthornlug::testing;

namespace {

/// Makes calls to a server that answers all of them with the same form.
class CallUnderTest
{
public:
  explicit CallUnderTest(const AnswerForm& aForm)
    : mHandler(aForm.bytes, aForm.ends)
    , mServer(mContext, FreeEndpoint(mContext), mHandler)
    , mLog("test")
  {
  }

  ForwardOutcome Forward(const std::string& aMethod)
  {
    http::Request request;
    request.method = aMethod;
    request.target = "/x";
    request.headers.Add("Host", "h");
    request.headers.Add("X-Hawthornlug-Attempt-Id", "r1");
    ForwardTerms terms;
    terms.address = mServer.Address();
    terms.instance = "me";
    terms.timeLeft = kTimeout;
    terms.maxIdle = kTimeout;
    return Await<ForwardOutcome>([&](auto aDone) {
      mCalls.Forward(request, terms, hawthornlug::test::MakePermit(), std::move(aDone));
    });
  }

  CommandOutcome Grant()
  {
    GrantCommand command;
    command.address = mServer.Address();
    command.server = { "me", 1 };
    command.token = 3;
    return Await<CommandOutcome>(
      [&](auto aDone) { mCalls.Grant(command, kTimeout, std::move(aDone)); });
  }

  CommandOutcome Release()
  {
    const ReleaseCommand command{ mServer.Address(), { "me", 1 }, {}, 3 };
    return Await<CommandOutcome>(
      [&](auto aDone) { mCalls.Release(command, kTimeout, std::move(aDone)); });
  }

  HealthReport CheckHealth()
  {
    return Await<HealthReport>([&](auto aDone) {
      mCalls.CheckHealth(mServer.Address(), "/health", kTimeout, std::move(aDone));
    });
  }

  StoreReading List()
  {
    return Await<StoreReading>(
      [&](auto aDone) { Store().List(ObjectKind::kServer, false, std::move(aDone)); });
  }

  StoreReading Watch()
  {
    return Await<StoreReading>([&](auto aDone) {
      Store().Watch(ObjectKind::kServer, StoreRevision(7), milliseconds(50), std::move(aDone));
    });
  }

  StoreWrite Write()
  {
    return Await<StoreWrite>([&](auto aDone) {
      Store().Write(ObjectKind::kRanges, "keyed", StoreRevision(7), R"({"a":1})", std::move(aDone));
    });
  }

private:
  static constexpr Duration kTimeout = milliseconds(400);

  StoreClient& Store()
  {
    if (!mStore) {
      mStore = std::make_unique<StoreClient>(mContext, mServer.Address(), mLog, mMetrics);
    }
    return *mStore;
  }

  template<typename Outcome, typename Begin>
  Outcome Await(Begin aBegin)
  {
    std::optional<Outcome> outcome;
    aBegin([&](const Outcome& aOutcome) { outcome = aOutcome; });
    REQUIRE(RunUntil(mContext, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  asio::io_context mContext;
  FixedAnswer mHandler;
  RawServer mServer;
  DecisionLog mLog;
  Metrics mMetrics;
  BackendCalls mCalls{ mContext, mLog, mMetrics };
  std::unique_ptr<StoreClient> mStore;
};

/// Fields that make an answer that of the server to this request, and one that was not run.
const AnswerParts kServed = { "X-Hawthornlug-Attempt-Id: r1\r\nX-Hawthornlug-Server-Seal: s\r\n"
                              "X-Hawthornlug-Server-Load: 1,0,3\r\nServer-Leaving: 1\r\n",
                              "hello" };
const AnswerParts kRejected = { "X-Hawthornlug-Attempt-Id: r1\r\nX-Hawthornlug-Not-Executed: 1\r\n",
                                "no" };
/// The form with the status of a refusal in place of 200.
AnswerForm WithRefusalStatus(AnswerForm aForm)
{
  for (const std::string version : { "HTTP/1.0 ", "HTTP/1.1 " }) {
    const std::string ok = version + "200";
    for (auto at = aForm.bytes.find(ok); at != std::string::npos; at = aForm.bytes.find(ok, at)) {
      aForm.bytes.replace(at, ok.size(), version + "503");
    }
  }
  return aForm;
}

const AnswerParts kOrderDone = { "X-Hawthornlug-Handover: h\r\n", "{}" };
const AnswerParts kHealthy = {
  "X-Hawthornlug-Instance-Id: me\r\nX-Hawthornlug-Server-Load: 1,0,3\r\n"
  "X-Hawthornlug-Warmup-Ms: 100\r\nServer-Leaving: 1\r\n",
  "ok"
};
const AnswerParts kList = { "Content-Type: application/json\r\n",
                            R"({"items":[{"Metadata":{"Name":"a","Revision":8},"Spec":{}}],)"
                            R"("HasMore":false,"At":9})" };
const AnswerParts kEvents = { "Content-Type: application/json\r\n",
                              R"({"events":[{"Object":{"Metadata":{"Name":"a","Revision":8},)"
                              R"("Spec":{}},"Removed":false}],"At":9})" };
const AnswerParts kWritten = { "Content-Type: application/json\r\n",
                               R"({"Metadata":{"Name":"keyed","Revision":8},"Spec":{"a":1}})" };

} // namespace

TEST_CASE("a broken answer to a request is a failure after which it may have run",
          "[platform][answers]")
{
  const std::string method = GENERATE(as<std::string>(), "GET", "POST");
  for (const AnswerForm& it : SoundAnswers(kServed)) {
    INFO(it.name);
    const ForwardOutcome outcome = CallUnderTest(it).Forward(method);
    CHECK(NameOf(kForwardResultNames, outcome.result) == "answered");
    CHECK(outcome.load.has_value());
  }
  for (const AnswerForm& it : SoundAnswers(kRejected)) {
    INFO(it.name);
    const ForwardOutcome outcome = CallUnderTest(WithRefusalStatus(it)).Forward(method);
    CHECK(NameOf(kForwardResultNames, outcome.result) == "not-run");
  }
  std::vector<AnswerForm> broken = BrokenAnswers(kServed);
  for (AnswerForm& it : BrokenAnswers(kRejected)) {
    broken.push_back(WithRefusalStatus(std::move(it)));
  }
  for (const AnswerForm& it : broken) {
    INFO(it.name);
    const ForwardOutcome outcome = CallUnderTest(it).Forward(method);
    CHECK(NameOf(kForwardResultNames, outcome.result) != "answered");
    CHECK(NameOf(kForwardResultNames, outcome.result) != "not-run");
    CHECK(NameOf(kForwardResultNames, outcome.result) != "timed-out");
    CHECK_FALSE(outcome.load.has_value());
    CHECK(outcome.notice.IsEmpty());
  }
}

TEST_CASE("a broken answer to a grant or a release is none", "[platform][answers]")
{
  for (const AnswerForm& it : SoundAnswers(kOrderDone)) {
    INFO(it.name);
    CHECK(CallUnderTest(it).Grant().result == CommandResult::kDone);
    CHECK(CallUnderTest(it).Release().handover == "h");
  }
  for (const AnswerForm& it : BrokenAnswers(kOrderDone)) {
    INFO(it.name);
    CHECK(NameOf(kCommandResultNames, CallUnderTest(it).Grant().result) == "no-answer");
    const CommandOutcome released = CallUnderTest(it).Release();
    CHECK(NameOf(kCommandResultNames, released.result) == "no-answer");
    CHECK(released.handover.empty());
  }
}

TEST_CASE("a broken answer to a health check says nothing of its server", "[platform][answers]")
{
  for (const AnswerForm& it : SoundAnswers(kHealthy)) {
    INFO(it.name);
    const HealthReport report = CallUnderTest(it).CheckHealth();
    CHECK(report.healthy);
    CHECK(report.load.has_value());
    CHECK(report.instance == "me");
  }
  for (const AnswerForm& it : BrokenAnswers(kHealthy)) {
    INFO(it.name);
    const HealthReport report = CallUnderTest(it).CheckHealth();
    CHECK_FALSE(report.answered);
    CHECK_FALSE(report.healthy);
    CHECK_FALSE(report.load.has_value());
    CHECK_FALSE(report.warmUpLeft.has_value());
    CHECK(report.notice.IsEmpty());
    CHECK(report.instance.empty());
  }
}

TEST_CASE("a broken answer of the store changes nothing and leaves a write unknown",
          "[platform][answers]")
{
  for (const AnswerForm& it : SoundAnswers(kList)) {
    INFO(it.name);
    CHECK(CallUnderTest(it).List().objects.size() == 1);
  }
  for (const AnswerForm& it : SoundAnswers(kWritten)) {
    INFO(it.name);
    CHECK(CallUnderTest(it).Write().result == StoreResult::kDone);
  }
  for (const AnswerForm& it : BrokenAnswers(kList)) {
    INFO("a list: " << it.name);
    const StoreReading reading = CallUnderTest(it).List();
    CHECK(NameOf(kStoreResultNames, reading.result) == "unknown");
    CHECK(reading.objects.empty());
  }
  for (const AnswerForm& it : BrokenAnswers(kEvents)) {
    INFO("a watch: " << it.name);
    const StoreReading reading = CallUnderTest(it).Watch();
    CHECK(NameOf(kStoreResultNames, reading.result) == "unknown");
    CHECK(reading.objects.empty());
  }
  for (const AnswerForm& it : BrokenAnswers(kWritten)) {
    INFO("a write: " << it.name);
    const StoreWrite write = CallUnderTest(it).Write();
    CHECK(NameOf(kStoreResultNames, write.result) == "unknown");
    CHECK_FALSE(write.object.has_value());
  }
}
