/// @file
/// What `serve` makes of objects and hosts of the platform that can't be read: the others hold.

#include "adapters/http_platform.h"
#include "tests/support/server_on_thread.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

constexpr Duration kTimeout = milliseconds(400);

std::string Answer(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Makes a call to a platform that answers with @p aBody; fails the test if it gives an error.
template<typename T>
T Call(const std::string& aBody, const std::function<Result<T>(HttpPlatform&)>& aCall)
{
  const ServerOnThread server({ "", Answer(aBody), false });
  HttpPlatform platform(server.Url(), kTimeout);
  return leaf::try_handle_all([&] { return aCall(platform); },
                              [] {
                                FAIL_CHECK("refused");
                                return T();
                              });
}

/// An entry that can't be read, and the name or id that is known of it.
struct OddEntry
{
  std::string text;
  std::string name;
};

} // namespace

TEST_CASE("an object that can't be read leaves the others of a watch readable", "[adapters][store]")
{
  const auto row = GENERATE(values<OddEntry>({
    { "7", "" },
    { "null", "" },
    { "{}", "" },
    { "\xFF", "" },
    { R"({"name":7,"version":8,"value":"x"})", "" },
    { "{\"name\":\"\xFF\",\"version\":8,\"value\":\"x\"}", "" },
    { R"({"name":"odd"})", "odd" },
    { R"({"name":"odd","version":"8","value":"x"})", "odd" },
    { R"({"name":"odd","version":-8,"value":"x"})", "odd" },
    { R"({"name":"odd","version":8.5,"value":"x"})", "odd" },
    { R"({"name":"odd","version":8,"value":{}})", "odd" },
    { R"({"name":"odd","version":8,"value":})", "" },
    { "{\"name\":\"odd\",\"version\":8,\"value\":\"\xFF\"}", "odd" },
  }));
  INFO(row.text);
  const std::string first = R"({"name":"a","version":7,"value":"x"})";
  const std::string last = R"({"name":"z","version":9,"value":"y"})";
  const auto changes = Call<ObjectChanges>(
    R"({"revision":9,"objects":[)" + first + "," + row.text + "," + last + "]}",
    [](HttpPlatform& aPlatform) { return aPlatform.Watch(6, milliseconds(50)); });
  CHECK(changes.revision == 9);
  REQUIRE(changes.items.size() == 2);
  CHECK(changes.items[0].name == "a");
  CHECK(changes.items[1].name == "z");
  CHECK(changes.items[1].value == "y");
  CHECK(changes.unreadable == std::vector<std::string>{ row.name });
}

TEST_CASE("a host that can't be read leaves the others of the list readable", "[adapters][store]")
{
  const auto row = GENERATE(values<OddEntry>({
    { "7", "" },
    { "{}", "" },
    { "\xFF", "" },
    { R"({"id":7,"domain":"d","http":"h","peer":"p"})", "" },
    { R"({"id":"","domain":"d","http":"h","peer":"p"})", "" },
    { R"({"id":"odd"})", "odd" },
    { R"({"id":"odd","domain":7,"http":"h","peer":"p"})", "odd" },
    { R"({"id":"odd","domain":"d","http":"h","peer":"p","leaving":"yes"})", "odd" },
    { "{\"id\":\"odd\",\"domain\":\"\xFF\",\"http\":\"h\",\"peer\":\"p\"}", "odd" },
  }));
  INFO(row.text);
  const std::string sound = R"({"id":"d1","domain":"d","http":"h","peer":"p"})";
  const auto list = Call<HostList>("[" + row.text + "," + sound + "]",
                                   [](HttpPlatform& aPlatform) { return aPlatform.Hosts(); });
  REQUIRE(list.hosts.size() == 1);
  CHECK(list.hosts[0].id == "d1");
  // An entry without an id may be that of any host: which hosts there are is not known then.
  CHECK(list.isWhole == !row.name.empty());
  CHECK(list.unreadable ==
        (row.name.empty() ? std::vector<std::string>() : std::vector<std::string>{ row.name }));
}

TEST_CASE("a write whose answer gives no version is unknown", "[adapters][store]")
{
  const auto body = GENERATE(values<std::string>({
    "",
    "7",
    "{}",
    R"({"version":"8"})",
    R"({"version":null})",
    R"({"version":-8})",
    R"({"version":8.5})",
    "{\"version\":8,\"x\":\"\xFF\"}",
  }));
  INFO(body);
  const ServerOnThread server({ "", Answer(body), false });
  HttpPlatform platform(server.Url(), kTimeout);
  const auto error = leaf::try_handle_all(
    [&]() -> Result<std::optional<PlatformError>> {
      BOOST_LEAF_CHECK(platform.Put("a", 7, "x"));
      return std::optional<PlatformError>();
    },
    [](PlatformError aError) { return std::optional(aError); },
    []() -> std::optional<PlatformError> { return std::nullopt; });
  CHECK(error == PlatformError::kUnknown);
}
