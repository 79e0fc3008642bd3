/// @file
/// Organisations and their keys in configurations, headers and what servers receive.

#include "http/server.h"
#include "platform/backend_calls.h"
#include "platform/object_reader.h"
#include "platform/organisation_keys.h"
#include "platform/store_client.h"
#include "routing/route_table.h"
#include "tests/support/loopback.h"
#include "tests/support/permits.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;
using namespace hawthornlug::testing;

namespace {

/// A configuration with these organisations.
std::string ConfigurationWith(const std::string& aTenants)
{
  return R"({"Version":"r7","Routes":{)"
         R"("a":{"Host":"h","PathPrefix":"/a/","Kind":"safe","Service":"s"},)"
         R"("b":{"Host":"h","PathPrefix":"/b/","Kind":"safe","Service":"s","Anonymous":true}},)"
         R"("Services":{"s":{}},"Tenants":)" +
         aTenants + "}";
}

std::optional<RouteConfig> Read(const std::string& aText)
{
  DecisionLog log("test");
  return PlatformObjectReader(log).ReadConfiguration({ "main", StoreRevision(12), false, aText });
}

const std::string kDigestOfOne = ToText(DigestOf("key-one"));

/// Answers every request with the same body, and records what it received.
class RecordingServer : public http::Handler
{
public:
  explicit RecordingServer(asio::io_context& aContext)
    : mEndpoint(FreeEndpoint(aContext))
    , mServer(aContext, mEndpoint, *this)
  {
  }
  std::string Address() const { return "127.0.0.1:" + std::to_string(mEndpoint.port()); }
  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    headers = aExchange->Received().headers;
    http::Response response;
    response.status = 200;
    response.body = body;
    aExchange->Respond(response);
  }
  void OnBadRequest(int, http::ReadState) override {}

  http::Headers headers;
  std::string body;

private:
  asio::ip::tcp::endpoint mEndpoint;
  http::Server mServer;
};

} // namespace

TEST_CASE("organisations are read from keys and digests alike", "[platform]")
{
  const auto text = GENERATE(values<std::string>({
    R"({"acme":{"ApiKeys":["key-one","key-two"],"Priority":1,"RatePerS":321,"Burst":32.5},)"
    R"("Zed & Sons":{"ApiKeys":[]}})",
    R"({"acme":{"ApiKeys":[")" + kDigestOfOne + R"(","key-two","key-one"],"Priority":1.0,)" +
      R"("RatePerS":321,"Burst":32.5},"Zed & Sons":{"ApiKeys":[],"RatePerS":0}})",
  }));
  INFO(text);
  const auto config = Read(ConfigurationWith(text));
  REQUIRE(config);
  CHECK_FALSE(config->routes[0].open);
  CHECK(config->routes[1].open);
  REQUIRE(config->organisations.size() == 2);
  const OrganisationRule& acme = config->organisations.at("acme");
  CHECK(acme.name == "acme");
  CHECK(acme.priority == 1);
  CHECK(acme.ratePerSecond == 321);
  CHECK(acme.burst == 32.5);
  const OrganisationRule& zed = config->organisations.at("Zed & Sons");
  CHECK_FALSE(zed.priority);
  CHECK(zed.ratePerSecond == 0);
  RouteTable table;
  table.Apply(*config);
  for (const char* const key : { "key-one", "key-two" }) {
    REQUIRE(table.FindOrganisation(DigestOf(key)) != nullptr);
    CHECK(table.FindOrganisation(DigestOf(key))->name == "acme");
  }
  CHECK(table.FindOrganisation(DigestOf("key-three")) == nullptr);
  // A digest is no key: who has read one must not be served.
  CHECK(table.FindOrganisation(DigestOf(kDigestOfOne)) == nullptr);
}

TEST_CASE("callers need keys if there is a list of organisations, even an empty one", "[platform]")
{
  const auto config = Read(ConfigurationWith("{}"));
  REQUIRE(config);
  CHECK(config->authenticates);
  CHECK(config->organisations.empty());
  const auto without = Read(
    R"({"Version":"r7","Routes":{"a":{"Host":"h","PathPrefix":"/a/","Kind":"safe","Service":"s"}},)"
    R"("Services":{"s":{}}})");
  REQUIRE(without);
  CHECK_FALSE(without->authenticates);
}

TEST_CASE("a wrong list of organisations rejects the whole configuration", "[platform]")
{
  struct Row
  {
    std::string name;
    std::string tenants;
  };
  const std::string one = R"({"acme":{"ApiKeys":["key-one"])";
  const auto row = GENERATE_COPY(values<Row>({
    { "no table", R"([{"Name":"acme"}])" },
    { "null", "null" },
    { "organisation that is no table", R"({"acme":["key-one"]})" },
    { "no keys", R"({"acme":{"RatePerS":1}})" },
    { "keys that are no list", R"({"acme":{"ApiKeys":"key-one"}})" },
    { "keys in a table", R"({"acme":{"ApiKeys":{"a":"key-one"}}})" },
    { "key that is a number", R"({"acme":{"ApiKeys":[17]}})" },
    { "key that is null", R"({"acme":{"ApiKeys":[null]}})" },
    { "empty key", R"({"acme":{"ApiKeys":[""]}})" },
    { "key with a blank", R"({"acme":{"ApiKeys":["key one"]}})" },
    { "key with a line break", R"({"acme":{"ApiKeys":["key\none"]}})" },
    { "key with a zero byte", R"({"acme":{"ApiKeys":["key\u0000one"]}})" },
    { "key that is not ASCII", R"({"acme":{"ApiKeys":["kéy"]}})" },
    { "key of 257 bytes", R"({"acme":{"ApiKeys":[")" + std::string(257, 'k') + R"("]}})" },
    { "key of two", one + R"(},"zed":{"ApiKeys":["key-one"]}})" },
    { "key and its digest of two", one + R"(},"zed":{"ApiKeys":[")" + kDigestOfOne + R"("]}})" },
    { "no name", R"({"":{"ApiKeys":["key-one"]}})" },
    { "name with a line break", R"({"ac\r\nme":{"ApiKeys":["key-one"]}})" },
    { "name with a blank in front", R"({" acme":{"ApiKeys":["key-one"]}})" },
    { "name that is not ASCII", R"({"acmé":{"ApiKeys":["key-one"]}})" },
    { "long name", R"({")" + std::string(257, 'a') + R"(":{"ApiKeys":["key-one"]}})" },
    { "negative rate", one + R"(,"RatePerS":-1}})" },
    { "rate that is no number", one + R"(,"RatePerS":"1"}})" },
    { "rate that is true", one + R"(,"RatePerS":true}})" },
    { "rate that is null", one + R"(,"RatePerS":null}})" },
    { "infinite rate", one + R"(,"RatePerS":1e999}})" },
    { "negative burst", one + R"(,"Burst":-0.5}})" },
    { "burst that is no number", one + R"(,"Burst":[1]}})" },
    { "priority that is no whole number", one + R"(,"Priority":1.5}})" },
    { "priority that is true", one + R"(,"Priority":true}})" },
    { "priority that is too large", one + R"(,"Priority":1e12}})" },
    { "priority that is a text", one + R"(,"Priority":"1"}})" },
  }));
  INFO(row.name);
  const std::string text = ConfigurationWith(row.tenants);
  CHECK_FALSE(Read(text));
  // A fault must stay one when the keys are replaced: daemons that read the object from others
  // must reject it too.
  CHECK_FALSE(Read(RedactKeys(text)));
}

TEST_CASE("an open route that is no truth value rejects the configuration", "[platform]")
{
  const auto value = GENERATE(values<std::string>({ "1", "null", "\"true\"", "[]" }));
  INFO(value);
  std::string text = ConfigurationWith(R"({"acme":{"ApiKeys":["key-one"]}})");
  const std::string open = R"("Anonymous":true)";
  text.replace(text.find(open), open.size(), R"("Anonymous":)" + value);
  CHECK_FALSE(Read(text));
}

TEST_CASE("after replacement a configuration has the same organisations and no key", "[platform]")
{
  const std::string text = ConfigurationWith(
    R"({"acme":{"ApiKeys":["key-one","key-\"two"],"Note":"x"},"zed":{"ApiKeys":[")" +
    ToText(DigestOf("key-three")) + R"("]}})");
  const std::string redacted = RedactKeys(text);
  CHECK(redacted.find("key-") == std::string::npos);
  CHECK(redacted.find(kDigestOfOne) != std::string::npos);
  CHECK(redacted.find(R"("Note":"x")") != std::string::npos);
  CHECK(RedactKeys(redacted) == redacted);
  const auto before = Read(text);
  const auto after = Read(redacted);
  REQUIRE(before);
  REQUIRE(after);
  for (const auto& [name, rule] : before->organisations) {
    CHECK(after->organisations.at(name).keys == rule.keys);
  }
}

// Guards against keys that stay in the text since they stand where no reader looks for them.
TEST_CASE("keys in a wrong place are removed too", "[platform]")
{
  const auto tenants = GENERATE(values<std::string>({
    R"("secret-key")",
    R"(["secret-key"])",
    R"([{"ApiKeys":["secret-key"]}])",
    R"({"acme":"secret-key"})",
    R"({"acme":["secret-key"]})",
    R"({"acme":{"ApiKeys":"secret-key"}})",
    R"({"acme":{"ApiKeys":{"secret-key":"secret-key"}}})",
    R"({"acme":{"ApiKeys":[["secret-key"]]}})",
    R"({"acme":{"ApiKeys":["secret-key with a blank"]}})",
    R"({"acme":{"ApiKeys":["secret-keyé"]}})",
  }));
  INFO(tenants);
  const std::string redacted = RedactKeys(ConfigurationWith(tenants));
  CHECK(redacted.find("secret-key") == std::string::npos);
  CHECK(redacted.find("\"r7\"") != std::string::npos);
}

TEST_CASE("a text that is not JSON has no keys left", "[platform]")
{
  CHECK(RedactKeys(R"({"Tenants":{"acme":{"ApiKeys":["secret-key"]})") == "null");
  CHECK(RedactKeys(R"({"Routes":{}})") == R"({"Routes":{}})");
}

// Guards against messages of the JSON library that quote the text around the fault.
TEST_CASE("an error is described without the text that it is in", "[platform]")
{
  const auto text = GENERATE(values<std::string>({
    R"({"Tenants":{"acme":{"ApiKeys":["secret-key)",
    R"({"Tenants":{"acme":{"ApiKeys":["secret-key",secret-key]}}})",
    "{\"Tenants\":{\"acme\":{\"ApiKeys\":[\"secret-key\xff\"]}}}",
    R"({"Tenants":{"acme":{"ApiKeys":["secret-key\q"]}}})",
    R"({"Tenants":{"acme":{"ApiKeys":[1234567890123456789e999]}}})",
  }));
  INFO(text);
  std::string described;
  try {
    const auto parsed = nlohmann::json::parse(text);
    FAIL(parsed.size());
  } catch (const nlohmann::json::exception& aError) {
    described = DescribeError(aError);
  }
  CHECK(described.starts_with("error "));
  CHECK(described.find("secret") == std::string::npos);
  CHECK(described.find("123456789") == std::string::npos);
}

TEST_CASE("a configuration is kept and passed on without keys", "[platform]")
{
  DecisionLog log("test");
  const PlatformObjectReader reader(log);
  const std::string text = ConfigurationWith(R"({"acme":{"ApiKeys":["secret-key"]}})");
  const std::string kept = reader.Redact(ObjectKind::kConfiguration, text);
  CHECK(kept.find("secret-key") == std::string::npos);
  CHECK(reader.Redact(ObjectKind::kConfiguration, kept) == kept);
  CHECK(reader.Redact(ObjectKind::kServer, "x") == "x");
}

TEST_CASE("the store client gives configurations without keys", "[platform]")
{
  struct Row
  {
    std::string name;
    std::string spec;
    bool valid;
  };
  const auto row = GENERATE(values<Row>({
    { "valid", ConfigurationWith(R"({"acme":{"ApiKeys":["secret-key"]}})"), true },
    { "malformed key", ConfigurationWith(R"({"acme":{"ApiKeys":["secret-key "]}})"), false },
    { "not JSON", R"({"Version":"r7","Tenants":{"acme":{"ApiKeys":[secret-key]}}})", false },
  }));
  const bool watches = GENERATE(false, true);
  INFO(row.name << (watches ? ", watch" : ", list"));
  asio::io_context context;
  DecisionLog log("test");
  Metrics metrics;
  RecordingServer server(context);
  const std::string object = R"({"Metadata":{"Name":"main","Revision":8},"Spec":)" + row.spec + "}";
  server.body = watches ? R"({"At":9,"events":[{"Object":)" + object + "}]}"
                        : R"({"At":9,"items":[)" + object + "]}";
  StoreClient client(context, server.Address(), log, metrics);
  std::optional<StoreReading> reading;
  const auto done = [&](StoreReading aReading) { reading = std::move(aReading); };
  if (watches) {
    client.Watch(ObjectKind::kConfiguration, StoreRevision(1), milliseconds(100), done);
  } else {
    client.List(ObjectKind::kConfiguration, false, done);
  }
  REQUIRE(RunUntil(context, [&] { return reading.has_value(); }));
  REQUIRE(reading->result == StoreResult::kDone);
  REQUIRE(reading->objects.size() == 1);
  CHECK(reading->objects[0].value.find("secret-key") == std::string::npos);
  const auto config = Read(reading->objects[0].value);
  REQUIRE(config.has_value() == row.valid);
  if (row.valid) {
    CHECK(config->organisations.at("acme").keys == std::vector{ DigestOf("secret-key") });
  }
}

TEST_CASE("a caller's headers state how its organisation's key was presented", "[platform]")
{
  struct Row
  {
    std::string name;
    std::vector<std::string> keys;
    CredentialState state;
  };
  const auto row = GENERATE(values<Row>({
    { "none", {}, CredentialState::kMissing },
    { "one", { "key-one" }, CredentialState::kPresented },
    { "all visible characters", { "!~\"\\,:" }, CredentialState::kPresented },
    { "256 bytes", { std::string(256, 'k') }, CredentialState::kPresented },
    { "257 bytes", { std::string(257, 'k') }, CredentialState::kMalformed },
    { "empty", { "" }, CredentialState::kMalformed },
    { "two", { "key-one", "key-two" }, CredentialState::kMalformed },
    { "the same twice", { "key-one", "key-one" }, CredentialState::kMalformed },
    { "one and an empty one", { "key-one", "" }, CredentialState::kMalformed },
    { "blank inside", { "key one" }, CredentialState::kMalformed },
    { "list", { "key-one, key-two" }, CredentialState::kMalformed },
    { "not ASCII", { "k\xc3\xa9y" }, CredentialState::kMalformed },
    { "control character", { "key\x7f" }, CredentialState::kMalformed },
  }));
  INFO(row.name);
  PlatformCallerHeaders headers;
  http::Request request;
  request.headers.Add("X-Hawthornlug-Attempt-Id", "abc");
  bool lower = false;
  for (const std::string& it : row.keys) {
    // The case of the name must not hide a second header.
    request.headers.Add(lower ? "x-hawthornlug-key" : "X-Hawthornlug-Key", it);
    lower = !lower;
  }
  const auto terms = headers.Read(request);
  REQUIRE(terms);
  CHECK(NameOf(kCredentialStateNames, terms->credential.state) ==
        NameOf(kCredentialStateNames, row.state));
  if (row.state == CredentialState::kPresented) {
    CHECK(terms->credential.digest == DigestOf(row.keys[0]));
  }
}

TEST_CASE("a server gets the organisation's name and no key", "[platform]")
{
  struct Row
  {
    std::string name;
    bool replaces;
    std::string organisation;
    std::vector<std::string> tenants;
    bool key;
  };
  const auto row = GENERATE(values<Row>({
    { "authenticated", true, "acme", { "acme" }, false },
    { "open route", true, "", {}, false },
    { "no organisations", false, "", { "forged", "again" }, true },
  }));
  // The caller names the header as one that ends at this hop: the name must reach the server
  // though.
  const bool endsHere = row.replaces && GENERATE(false, true);
  INFO(row.name << (endsHere ? ", Connection" : ""));
  asio::io_context context;
  DecisionLog log("test");
  Metrics metrics;
  RecordingServer server(context);
  BackendCalls calls(context, log, metrics);
  http::Request request;
  request.method = "GET";
  request.target = "/x";
  request.headers.Add("Host", "h");
  request.headers.Add("X-Hawthornlug-Attempt-Id", "r1");
  request.headers.Add("x-hawthornlug-KEY", "key-one");
  request.headers.Add("X-HAWTHORNLUG-Tenant", "forged");
  request.headers.Add("X-Hawthornlug-Tenant", "again");
  if (endsHere) {
    request.headers.Add("Connection", "X-Hawthornlug-Tenant");
  }
  ForwardTerms terms;
  terms.address = server.Address();
  terms.instance = "me";
  terms.timeLeft = seconds(2);
  terms.replacesIdentity = row.replaces;
  terms.organisation = row.organisation;
  bool done = false;
  calls.Forward(
    request, terms, hawthornlug::test::MakePermit(), [&](const ForwardOutcome&) { done = true; });
  REQUIRE(RunUntil(context, [&] { return done; }));
  std::vector<std::string> tenants;
  for (const http::Headers::Field& it : server.headers.Fields()) {
    if (http::EqualsIgnoringCase(it.name, "X-Hawthornlug-Tenant")) {
      tenants.push_back(it.value);
    }
  }
  CHECK(tenants == row.tenants);
  CHECK(server.headers.Find("X-Hawthornlug-Key").has_value() == row.key);
}
