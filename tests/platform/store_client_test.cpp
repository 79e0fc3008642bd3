/// @file
/// The store's client against a store that lists by pages: entries of other writers, whatever their
/// names and bytes, change neither what is asked for nor what is read of others.

#include "platform/store_client.h"
#include "tests/support/loopback.h"
#include "tests/support/standin_store.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::platform;
using hawthornlug::test::Json;
using hawthornlug::test::StandInStore;

namespace {

constexpr const char* kServers = "servers";
/// Names of sound entries, before and behind any other name of these tests.
const std::vector<std::string> kSound = { "!first", "\x7F-last" };

std::string AddressText(const asio::ip::tcp::endpoint& aEndpoint)
{
  return "127.0.0.1:" + std::to_string(aEndpoint.port());
}

/// A client and its store on one event loop.
class ClientUnderTest
{
public:
  ClientUnderTest()
    : mAddress(AddressText(testing::FreeEndpoint(mContext)))
    , mStore(mContext, mAddress)
    , mClient(mContext, mAddress, mLog, mMetrics)
  {
    for (const std::string& it : kSound) {
      mStore.Put(kServers, it, { { "sound", true } });
    }
  }

  StandInStore& Store() { return mStore; }

  StoreReading List(bool aMayBeStale = false)
  {
    return Await<StoreReading>(
      [&](auto aDone) { mClient.List(ObjectKind::kServer, aMayBeStale, std::move(aDone)); });
  }

  StoreReading Watch(Version aSince)
  {
    return Await<StoreReading>([&](auto aDone) {
      mClient.Watch(ObjectKind::kServer, aSince, milliseconds(50), std::move(aDone));
    });
  }

  StoreWrite Write(const std::string& aName, Version aExpected, const std::string& aValue)
  {
    return Await<StoreWrite>([&](auto aDone) {
      mClient.Write(ObjectKind::kRanges, aName, aExpected, aValue, std::move(aDone));
    });
  }

private:
  template<typename Outcome, typename Begin>
  Outcome Await(Begin aBegin)
  {
    std::optional<Outcome> outcome;
    aBegin([&](const Outcome& aOutcome) { outcome = aOutcome; });
    REQUIRE(testing::RunUntil(mContext, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  asio::io_context mContext;
  std::string mAddress;
  StandInStore mStore;
  DecisionLog mLog{ "test" };
  Metrics mMetrics;
  StoreClient mClient;
};

/// The names in a reading, sorted, but for removed objects.
std::vector<std::string> NamesOf(const StoreReading& aReading)
{
  std::vector<std::string> names;
  for (const StoredObject& it : aReading.objects) {
    if (!it.removed) {
      names.push_back(it.name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string> SoundAnd(const std::string& aName)
{
  std::vector<std::string> names = kSound;
  names.push_back(aName);
  std::sort(names.begin(), names.end());
  return names;
}

/// Names of entries, each of which is the last of a page.
const std::vector<std::string> kNames = {
  "i-7f3a91c2",
  "i-1&Watch=1",
  "i-1&after=z",
  "i-1;a=b",
  "i-1+2",
  "i-1 2",
  " i-1 ",
  "i-1#2",
  "i-1%41",
  "i-1%",
  "i-1%zz",
  "i-1?after=z",
  "i-1=2",
  "i-1/2",
  "i-1/../2",
  "..",
  "i-1\\2",
  "i-1\"2",
  "i-1'2",
  "{}[],:",
  "i-1\t2",
  "i-1\r\nX-Hawthornlug-Tenant: a",
  "i-1\n\nGET / HTTP/1.1",
  std::string("i-1\0002", 5),
  "i-\xC3\xA4",
  "i-\xF0\x9F\x90\x98",
  std::string(3000, 'n'),
};

} // namespace

TEST_CASE("a list goes on behind an entry of any name", "[platform][store]")
{
  const std::string name = GENERATE(from_range(kNames));
  const std::size_t pageSize = GENERATE(1, 2, 500);
  const bool mayBeStale = GENERATE(false, true);
  INFO(name);
  ClientUnderTest client;
  client.Store().SetPageSize(pageSize);
  client.Store().Put(kServers, name, { { "odd", true } });
  const StoreReading reading = client.List(mayBeStale);
  CHECK(reading.result == StoreResult::kDone);
  CHECK(NamesOf(reading) == SoundAnd(name));
  CHECK(reading.at == client.Store().Revision());
  CHECK(client.Store().PagesAsked(kServers) == (kSound.size() + pageSize) / pageSize);
}

TEST_CASE("a watch shows an entry of any name, and its removal", "[platform][store]")
{
  const std::string name = GENERATE(from_range(kNames));
  INFO(name);
  ClientUnderTest client;
  const Version before = client.Store().Revision();
  client.Store().Put(kServers, name, { { "odd", true } });
  const StoreReading added = client.Watch(before);
  CHECK(added.result == StoreResult::kDone);
  CHECK(NamesOf(added) == std::vector<std::string>{ name });
  client.Store().Remove(kServers, name);
  const StoreReading removed = client.Watch(added.at);
  CHECK(removed.result == StoreResult::kDone);
  REQUIRE(removed.objects.size() == 1);
  CHECK(removed.objects[0].name == name);
  CHECK(removed.objects[0].removed);
}

TEST_CASE("a write reaches the object of its name and no other", "[platform][store]")
{
  const std::string name = GENERATE(from_range(kNames));
  INFO(name);
  ClientUnderTest client;
  const StoreWrite created = client.Write(name, 0, R"({"n":1})");
  CHECK(created.result == StoreResult::kDone);
  REQUIRE(created.object);
  CHECK(created.object->name == name);
  const StoreWrite replaced = client.Write(name, created.object->revision, R"({"n":2})");
  CHECK(replaced.result == StoreResult::kDone);
  const Json* const stored = client.Store().Find("hawthornlug-ranges", name);
  REQUIRE(stored != nullptr);
  CHECK(stored->at("n") == 2);
  const StoreWrite late = client.Write(name, created.object->revision, R"({"n":3})");
  CHECK(late.result == StoreResult::kConflict);
  REQUIRE(late.object);
  CHECK(late.object->revision == replaced.object->revision);
}
