/// @file
/// Parsing of the platform's formats, valid and invalid: settings, configurations, registry
/// entries, callers' headers, responses of the store.

#include "platform/backend_calls.h"
#include "platform/host_settings.h"
#include "platform/object_reader.h"
#include "platform/store_answers.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;

namespace {

const std::string kSettings = R"(
NodeName = "edge-1"
IpAddr = "10.1.0.35"
Zone = "north"
PortRange = [7660,7675]
Seeds = ["10.1.0.35:8146","10.2.0.28:8146"]
HeartbeatS = 0.87
[Bind]
FrontHttp = "10.1.0.35:8144"
ReadyAddr = "10.1.0.35:8140"
ControlPlane = "10.1.0.35:8146"
[Limits]
MemoryMb = 260
[ContractBounds]
GraceS = 6
RetryBudgetRatio = 0.2
RetrySlack = 58
[Provider]
Address = "10.200.1.7:8142"
)";

const std::string kConfiguration = R"({"Version":"r7","Routes":{
  "a":{"Host":"h.example","PathPrefix":"/a/","Kind":"safe","TimeoutS":1.5,"TargetLatencyS":0.6,
       "Priority":2,"TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],
       "MaxAttempts":2},
  "b":{"Host":"h.example","PathPrefix":"/b/","Kind":"unsafe","Service":"s"}},
  "Services":{"s":{"HealthPath":"/health","MaxConns":110,"WarmupS":3.0,"WarmupPerS":2.4},
              "t":{"Sharded":true}},
  "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutS":3,"IdleTimeoutS":15}})";

const std::string kServer =
  R"({"Service":"s","Address":"10.1.2.3:80","Zone":"north","Capacity":3,"State":"ready",)"
  R"("WarmupLeftS":1.5,"Seq":4,"born":1700000000001})";

/// The name of the setting for which the text is rejected; empty if it is accepted.
std::string RejectedSetting(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseHostSettings(aText));
      return std::string();
    },
    [](const SettingError& aError) { return aError.setting; },
    [] { return std::string("unknown"); });
}

/// Replaces @p aPart, which must occur in @p aText, by @p aWith.
std::string WithReplacement(std::string aText,
                            const std::string& aPart,
                            const std::string& aWith = "")
{
  const std::size_t at = aText.find(aPart);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aPart.size(), aWith);
}

struct Edit
{
  std::string part;
  std::string with;
};

} // namespace

TEST_CASE("settings are read into HostSettings", "[platform]")
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(settings, ParseHostSettings(kSettings));
      CHECK(settings.daemonId == "edge-1");
      CHECK(settings.domain == "north");
      CHECK(settings.callerAddress == "10.1.0.35:8144");
      CHECK(settings.readinessAddress == "10.1.0.35:8140");
      CHECK(settings.meshAddress == "10.1.0.35:8146");
      CHECK(settings.seeds.size() == 2);
      CHECK(settings.storeAddress == "10.200.1.7:8142");
      CHECK(settings.serverHeartbeat == milliseconds(870));
      CHECK(settings.stopGrace == seconds(6));
      CHECK(settings.retrySlack == 58.0);
      return {};
    },
    [] { FAIL("settings rejected"); });
}

TEST_CASE("the features for heavy load are on only where the operators' terms ask for them",
          "[platform]")
{
  struct Row
  {
    std::string terms;
    bool highLoad;
  };
  const auto row = GENERATE(values<Row>({
    { "", false },
    { "Invariants = []\n", false },
    { "Invariants = [\"base\", \"own\"]\n", false },
    { "Invariants = [\"base\", \"pressure\"]\n", true },
  }));
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(settings, ParseHostSettings(row.terms + kSettings));
      CHECK(settings.highLoad == row.highLoad);
      return {};
    },
    [] { FAIL("settings rejected"); });
}

TEST_CASE("an invalid setting is rejected with its name", "[platform]")
{
  struct Row
  {
    std::string part;
    std::string with;
    std::string setting;
  };
  const auto row = GENERATE(values<Row>({
    { "NodeName = \"edge-1\"", "", "NodeName" },
    { "Zone = \"north\"", "Zone = 3", "Zone" },
    { "FrontHttp = \"10.1.0.35:8144\"", "", "Bind.FrontHttp" },
    { "Address = \"10.200.1.7:8142\"", "", "Provider.Address" },
    { "GraceS = 6", "GraceS = \"six\"", "ContractBounds.GraceS" },
    { "GraceS = 6", "GraceS = -6", "ContractBounds.GraceS" },
    { "[Bind]", "[Bind", "file" },
    { "[Bind]", "\xc7\x90 = 1\n[Bind]", "file" },
    { "[Bind]", "x = \"\\\"\" \xc7\x90\n[Bind]", "file" },
    { "[Bind]", "x = \"no end\n\xc7\x90 = 1\n[Bind]", "file" },
    { "[Bind]", "x = 'no end\n\xc7\x90 = 1\n[Bind]", "file" },
    { "[Bind]", "x = \"\"\"no end\n\xc7\x90 = 1\n[Bind]", "file" },
    { "[Bind]", "x = \"\"\"a\"\"\"\"\n\xc7\x90 = 1\n[Bind]", "file" },
  }));
  INFO(row.part << " -> " << row.with);
  CHECK(RejectedSetting(WithReplacement(kSettings, row.part, row.with)) == row.setting);
}

TEST_CASE("strings and comments of the settings may contain any character", "[platform]")
{
  const auto edit = GENERATE(values<Edit>({
    { "\"north\"", "\"Mure\xc8\x99 # \\\" \xc7\x90\"" },
    { "\"north\"", "'\xc7\x90\\' # \xc7\x90 \"" },
    { "\"north\"", "\"\"\"\n\xc7\x90\"\"\"" },
    { "\"north\"", "\"\"\"\xc7\x90\"\"\"\"\"" },
    { "\"north\"", "'''\n\xc7\x90'''" },
  }));
  INFO(edit.with);
  CHECK(RejectedSetting(WithReplacement(kSettings, edit.part, edit.with)).empty());
}

TEST_CASE("a configuration is read into routes, services and bounds", "[platform]")
{
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  const auto config =
    reader.ReadConfiguration({ "main", StoreRevision(12), false, kConfiguration });
  REQUIRE(config);
  CHECK(config->version == 7);
  REQUIRE(config->routes.size() == 2);
  const RouteRule& first = config->routes[0];
  CHECK(first.idempotent);
  CHECK(first.timeout == milliseconds(1500));
  CHECK(first.targetLatency == milliseconds(600));
  CHECK(first.maxAttempts == 2);
  REQUIRE(first.shares.size() == 2);
  CHECK(first.shares[0].weight == 90);
  CHECK_FALSE(config->routes[1].idempotent);
  CHECK(config->routes[1].shares[0].service == "s");
  CHECK(config->services.at("s").warmUpPerSecond == 2.4);
  CHECK_FALSE(config->services.at("s").keyed);
  CHECK(config->services.at("t").keyed);
  CHECK(config->bounds.bodyBytes == 200);
  CHECK(config->bounds.idleTimeout == seconds(15));
}

TEST_CASE("the kind of a route says whether its requests may run more than once", "[platform]")
{
  struct Row
  {
    std::string kind;
    bool idempotent;
  };
  const auto row = GENERATE(values<Row>({
    { "safe", true },
    { "download", true },
    { "unsafe", false },
    { "upload", false },
    { "unknown", false },
  }));
  INFO(row.kind);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  const std::string text =
    WithReplacement(kConfiguration, R"("Kind":"unsafe")", R"("Kind":")" + row.kind + '"');
  const auto config = reader.ReadConfiguration({ "main", StoreRevision(12), false, text });
  REQUIRE(config);
  CHECK(config->routes[1].idempotent == row.idempotent);
}

TEST_CASE("a malformed configuration is rejected", "[platform]")
{
  const auto edit = GENERATE(values<Edit>({
    { "\"r7\"", "7" },
    { "\"r7\"", "\"7\"" },
    { "\"r7\"", "\"r7x\"" },
    { "\"r7\"", "\"r\"" },
    { "\"PathPrefix\":\"/a/\",", "" },
    { "\"TimeoutS\":1.5", "\"TimeoutS\":\"soon\"" },
    { "\"TimeoutS\":1.5", "\"TimeoutS\":-1" },
    { "\"Priority\":2", "\"Priority\":18446744073709551616" },
    { "\"Priority\":2", "\"Priority\":\"2\"" },
    { "\"Weight\":90", "\"Weight\":null" },
    { ",\"Service\":\"s\"}}", "}}" },
    { "{\"Version\"", "\"Version\"" },
  }));
  INFO(edit.part << " -> " << edit.with);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  CHECK_FALSE(reader.ReadConfiguration(
    { "main", StoreRevision(12), false, WithReplacement(kConfiguration, edit.part, edit.with) }));
}

TEST_CASE("a registry entry is read, and a malformed one yields no server", "[platform]")
{
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  const auto entry = reader.ReadServer({ "i-1", StoreRevision(3), false, kServer });
  REQUIRE(entry);
  CHECK(entry->id == "i-1");
  CHECK(entry->address == "10.1.2.3:80");
  CHECK(entry->slots == 3);
  CHECK(entry->warmUpLeft == milliseconds(1500));
  CHECK(entry->incarnation == 1700000000001);
  const auto edit = GENERATE(values<Edit>({
    { "\"ready\"", "\"asleep\"" },
    { "\"ready\"", "7" },
    { "\"Capacity\":3", "\"Capacity\":\"3\"" },
    { "\"Capacity\":3", "\"Capacity\":0" },
    { "\"Capacity\":3", "\"Capacity\":2.5" },
    { "\"Service\":\"s\",", "" },
    { "10.1.2.3:80", "10.1.2.3" },
    { "10.1.2.3:80", "somewhere:80" },
    { "10.1.2.3:80", "10.1.2.3:99999" },
    { "\"born\":1700000000001", "\"born\":1.5" },
    { "\"born\":1700000000001", "\"born\":-1" },
    { "\"born\":1700000000001", "\"born\":123456789012345678901234567890" },
    { ",\"born\":1700000000001", "" },
    { "10.1.2.3:80", "10.1.2.3:70000" },
    { "10.1.2.3:80", "10.1.2.3:-1" },
    { "10.1.2.3:80", "10.1.2.3:12345678901234567890" },
    { "\"WarmupLeftS\":1.5", "\"WarmupLeftS\":-2" },
    { "{\"Service\"", "[\"Service\"" },
  }));
  INFO(edit.part << " -> " << edit.with);
  CHECK_FALSE(reader.ReadServer(
    { "i-1", StoreRevision(3), false, WithReplacement(kServer, edit.part, edit.with) }));
}

TEST_CASE("a server whose name no header can carry is not used", "[platform]")
{
  struct Row
  {
    std::string name;
    bool usable;
  };
  const auto row = GENERATE(values<Row>({
    { "i-7f3a91c2", true },
    { "i-1&a=b+c#d%41?/", true },
    { "i 1", true },
    { std::string(256, 'n'), true },
    { std::string(257, 'n'), false },
    { "", false },
    { " i-1", false },
    { "i-1 ", false },
    { "i-1\t", false },
    { "i-\t1", false },
    { "i-1\r\nX-Hawthornlug-Tenant: a", false },
    { "i-1\n", false },
    { std::string("i-\0001", 4), false },
    { "i-\x7F", false },
    { "i-\xC3\xA4", false },
  }));
  INFO(row.name);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  CHECK(reader.ReadServer({ row.name, StoreRevision(3), false, kServer }).has_value() ==
        row.usable);
}

TEST_CASE("only the object of that name is the configuration", "[platform]")
{
  const auto name = GENERATE(
    values<std::string>({ "", "Main", "main ", "main&x", "main/", "other", "main%", "xmain" }));
  INFO(name);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  CHECK(reader.ReadConfiguration({ "main", StoreRevision(12), false, kConfiguration }));
  CHECK_FALSE(reader.ReadConfiguration({ name, StoreRevision(13), false, kConfiguration }));
}

TEST_CASE("a health path can be sent as a request's target", "[platform]")
{
  struct Row
  {
    std::string path;
    std::string target;
  };
  const auto row = GENERATE(values<Row>({
    { "/health", "/health" },
    { "/health?full=1&a=b+c", "/health?full=1&a=b+c" },
    { "/a%20b/", "/a%20b/" },
    { "health", "/health" },
    { "", "/" },
    { "/is it well", "/is%20it%20well" },
    { "/100%", "/100%25" },
    { "/a%4", "/a%254" },
    { "/a#b", "/a%23b" },
    { "/a\\u000d\\u000aX: y", "/a%0D%0AX:%20y" },
    { "/\xC3\xA4", "/%C3%A4" },
  }));
  INFO(row.path);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  const std::string text = WithReplacement(kConfiguration, "\"/health\"", '"' + row.path + '"');
  const auto config = reader.ReadConfiguration({ "main", StoreRevision(12), false, text });
  REQUIRE(config);
  CHECK(config->services.at("s").healthPath == row.target);
}

TEST_CASE("a caller's headers state request id, timeout and key", "[platform]")
{
  PlatformCallerHeaders headers;
  http::Request request;
  CHECK_FALSE(headers.Read(request));
  request.headers.Add("x-hawthornlug-attempt-id", "abc");
  request.headers.Add("X-Hawthornlug-Deadline-Ms", "1500");
  request.headers.Add("X-Hawthornlug-Shard-Key", "65535");
  const auto terms = headers.Read(request);
  REQUIRE(terms);
  CHECK(terms->requestId == "abc");
  CHECK(terms->timeout == milliseconds(1500));
  CHECK(terms->key == 65535);
  const auto edit = GENERATE(values<Edit>({
    { "X-Hawthornlug-Deadline-Ms", "soon" },
    { "X-Hawthornlug-Deadline-Ms", "-1" },
    { "X-Hawthornlug-Shard-Key", "65536" },
    { "X-Hawthornlug-Shard-Key", "1x" },
  }));
  request.headers.Set(edit.part, edit.with);
  CHECK_FALSE(headers.Read(request));
}

TEST_CASE("a response of the router itself has the request id and Retry-After", "[platform]")
{
  PlatformCallerHeaders headers;
  CallerTerms terms;
  terms.requestId = "abc";
  const auto proof = ExecutionRecord().Close();
  REQUIRE(proof);
  const http::Response response =
    headers.Refuse(*proof, http::PromiseStatus::kServiceUnavailable, terms, milliseconds(250));
  CHECK(response.status == 503);
  CHECK(response.headers.Get("X-Hawthornlug-Attempt-Id") == "abc");
  CHECK(response.headers.Get("Retry-After") == "0.250");
  const http::Response failure = headers.Fail(http::PlainStatus(404), terms);
  CHECK(failure.status == 404);
  CHECK(failure.headers.Get("X-Hawthornlug-Attempt-Id") == "abc");
  CHECK_FALSE(failure.headers.Find("Retry-After"));
  CHECK(headers.Fail(http::PlainStatus(503), terms).status == 502);
}

TEST_CASE("an object that no parser accepts leaves the others of its answer readable", "[platform]")
{
  constexpr std::size_t kNestingDepth = 300000;
  constexpr std::size_t kManyDigits = 400;
  const std::string deep = std::string(kNestingDepth, '[') + std::string(kNestingDepth, ']');
  struct OddRow
  {
    std::string name;
    std::string part;
    std::string with;
  };
  const auto row = GENERATE_COPY(values<OddRow>({
    { "nested 300,000 deep", "\"s\"", deep },
    { "number too large", "\"Capacity\":3", "\"Capacity\":1e400" },
    { "number of 400 digits", "\"Capacity\":3", "\"Capacity\":" + std::string(kManyDigits, '9') },
    { "lone surrogate", "\"ready\"", "\"\\udcff\"" },
    { "bytes that are no UTF-8", "\"ready\"", "\"\xff\xfe\"" },
    { "no JSON", "{\"Service\"", "{Service" },
    { "brackets that do not match", "3", "[3}" },
    { "port out of range", "10.1.2.3:80", "10.1.2.3:70000" },
  }));
  INFO(row.name);
  const std::string odd =
    R"({"Metadata":{"Name":"odd","Revision":7,"Finalizers":[1e400]},"Spec":)" +
    WithReplacement(kServer, row.part, row.with) + "}";
  const std::string good = R"({"Metadata":{"Name":"good","Revision":8},"Spec":)" + kServer + "}";
  const auto check = [](const StorePage& aPage) {
    REQUIRE(aPage.objects.size() == 2);
    CHECK(aPage.at == StoreRevision(9));
    DecisionLog log("test");
    PlatformObjectReader reader(log);
    CHECK(aPage.objects[0].name == "odd");
    CHECK_FALSE(reader.ReadServer(aPage.objects[0]));
    CHECK(reader.ReadServer(aPage.objects[1]));
  };
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(
        list, ReadListAnswer(R"({"At":9,"HasMore":true,"items":[)" + odd + "," + good + "]}"));
      CHECK(list.more);
      check(list);
      BOOST_LEAF_AUTO(watch,
                      ReadWatchAnswer(R"({"At":9,"events":[{"Object":)" + odd + R"(},{"Object":)" +
                                      good + "}]}"));
      check(watch);
      return {};
    },
    [](const AnswerError& aError) { FAIL(aError.reason); },
    [] { FAIL("the answer was rejected"); });
}

TEST_CASE("malformed responses of the store yield AnswerError", "[platform]")
{
  const auto body = GENERATE(values<std::string>({
    "",
    "[]",
    "{",
    R"({"items":[]})",
    R"({"At":-1,"items":3})",
    R"({"At":"3","items":[]})",
    R"({"At":3.5,"items":[]})",
    R"({"At":3,"HasMore":7,"items":[]})",
    R"({"At":3,"items":[{"Metadata":]})",
  }));
  INFO(body);
  const bool wasRejected = leaf::try_handle_all(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(ReadListAnswer(body));
      return false;
    },
    [](const AnswerError&) { return true; },
    [] { return false; });
  CHECK(wasRejected);
}

TEST_CASE("a malformed version makes a configuration unreadable", "[platform]")
{
  const auto version =
    GENERATE(values<std::string>({ "", "r", "7", "r-1", "r7 ", "r99999999999999999999" }));
  INFO(version);
  DecisionLog log("test");
  PlatformObjectReader reader(log);
  const std::string text = WithReplacement(kConfiguration, "\"r7\"", "\"" + version + "\"");
  CHECK_FALSE(reader.ReadConfiguration({ "main", StoreRevision(12), false, text }));
}
