/// @file
/// The store's client against a store that lists by pages: entries of other writers, whatever their
/// names and bytes, change neither what is asked for nor what is read of others.

#include "platform/store_client.h"
#include "tests/support/byte_server.h"
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
  const StoreClient& Client() const { return mClient; }

  StoreReading List(bool aMayBeStale = false)
  {
    return Await<StoreReading>(
      [&](auto aDone) { mClient.List(ObjectKind::kServer, aMayBeStale, std::move(aDone)); });
  }

  StoreReading Watch(StoreRevision aSince)
  {
    return Await<StoreReading>([&](auto aDone) {
      mClient.Watch(ObjectKind::kServer, aSince, milliseconds(50), std::move(aDone));
    });
  }

  StoreWrite Write(const std::string& aName, StoreRevision aExpected, const std::string& aValue)
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

namespace {

/// The place of the entry that a row describes; also its name, where that can be read.
constexpr const char* kOdd = "i-odd";

/// What can be read of an entry.
enum class Known
{
  kNothing,
  kName,
  kMetadata,
};

/// An entry that is not what the platform's page describes, as it is listed.
struct OddEntry
{
  const char* what;
  std::string text;
  Known known;
};

const std::vector<OddEntry> kOddEntries = {
  { "no object: a number", "7", Known::kNothing },
  { "no object: a text", R"("text")", Known::kNothing },
  { "no object: null", "null", Known::kNothing },
  { "no object: a list", R"([{"Metadata":{"Name":"i-odd","Revision":5}}])", Known::kNothing },
  { "no object: bytes", "\xFF\xFE", Known::kNothing },
  { "empty", "{}", Known::kNothing },
  { "Metadata: none", R"({"Spec":{}})", Known::kNothing },
  { "Metadata: null", R"({"Metadata":null,"Spec":{}})", Known::kNothing },
  { "Metadata: a list", R"({"Metadata":["i-odd",5],"Spec":{}})", Known::kNothing },
  { "Metadata: bytes", "{\"Metadata\":\xFF,\"Spec\":{}}", Known::kNothing },
  { "Name: none", R"({"Metadata":{"Revision":5},"Spec":{}})", Known::kNothing },
  { "Name: empty", R"({"Metadata":{"Name":"","Revision":5},"Spec":{}})", Known::kNothing },
  { "Name: a number", R"({"Metadata":{"Name":7,"Revision":5},"Spec":{}})", Known::kNothing },
  { "Name: null", R"({"Metadata":{"Name":null,"Revision":5},"Spec":{}})", Known::kNothing },
  { "Name: not UTF-8", "{\"Metadata\":{\"Name\":\"i-\xFF\",\"Revision\":5}}", Known::kNothing },
  { "Name: half a surrogate pair",
    R"({"Metadata":{"Name":"i-\ud800","Revision":5}})",
    Known::kNothing },
  { "Name: an unknown escape", R"({"Metadata":{"Name":"i-\x41","Revision":5}})", Known::kNothing },
  { "Name: a line's end", "{\"Metadata\":{\"Name\":\"i-\n\",\"Revision\":5}}", Known::kNothing },
  { "Revision: none", R"({"Metadata":{"Name":"i-odd"},"Spec":{}})", Known::kName },
  { "Revision: a text", R"({"Metadata":{"Name":"i-odd","Revision":"5"},"Spec":{}})", Known::kName },
  { "Revision: null", R"({"Metadata":{"Name":"i-odd","Revision":null},"Spec":{}})", Known::kName },
  { "Revision: negative",
    R"({"Metadata":{"Name":"i-odd","Revision":-5},"Spec":{}})",
    Known::kName },
  { "Revision: a fraction",
    R"({"Metadata":{"Name":"i-odd","Revision":5.5},"Spec":{}})",
    Known::kName },
  { "Revision: too large",
    R"({"Metadata":{"Name":"i-odd","Revision":1e300},"Spec":{}})",
    Known::kName },
  { "Deleting: a text",
    R"({"Metadata":{"Name":"i-odd","Revision":5,"Deleting":"x"},"Spec":{}})",
    Known::kName },
  { "Deleting: a number",
    R"({"Metadata":{"Name":"i-odd","Revision":5,"Deleting":7},"Spec":{}})",
    Known::kName },
  { "Spec: none", R"({"Metadata":{"Name":"i-odd","Revision":5}})", Known::kMetadata },
  { "Spec: a text", R"({"Metadata":{"Name":"i-odd","Revision":5},"Spec":"x"})", Known::kMetadata },
  { "Spec: no value",
    R"({"Metadata":{"Name":"i-odd","Revision":5},"Spec":{"a":}})",
    Known::kMetadata },
  { "Spec: not UTF-8",
    "{\"Metadata\":{\"Name\":\"i-odd\",\"Revision\":5},\"Spec\":{\"a\":\"\xFF\"}}",
    Known::kMetadata },
  { "Spec: deeply nested",
    R"({"Metadata":{"Name":"i-odd","Revision":5},"Spec":)" + std::string(5000, '[') +
      std::string(5000, ']') + "}",
    Known::kMetadata },
  { "Spec: brackets in texts",
    R"({"Metadata":{"Name":"i-odd","Revision":5},"Spec":{"a":"}]}","b":"\"]}"}})",
    Known::kMetadata },
  { "another name in Spec",
    R"({"Spec":{"Metadata":{"Name":"!first"}},"Metadata":{"Name":"i-odd","Revision":5}})",
    Known::kMetadata },
};

std::vector<std::string> NamesBeside(const OddEntry& aEntry)
{
  return aEntry.known == Known::kNothing ? kSound : SoundAnd(kOdd);
}

/// Whether the sound entries were read as they were written.
bool SoundAsWritten(const StoreReading& aReading)
{
  return std::all_of(
    aReading.objects.begin(), aReading.objects.end(), [](const StoredObject& aObject) {
      const bool isSound = std::find(kSound.begin(), kSound.end(), aObject.name) != kSound.end();
      return !isSound || aObject.value == R"({"sound":true})";
    });
}

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
  const StoreRevision before = client.Store().Revision();
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
  const StoreWrite created = client.Write(name, StoreRevision(0, kFirstStoreEra), R"({"n":1})");
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

TEST_CASE("an entry that can't be read leaves the others of its list readable", "[platform][store]")
{
  const OddEntry row = GENERATE(from_range(kOddEntries));
  const std::size_t pageSize = GENERATE(2, 500);
  INFO(row.what);
  ClientUnderTest client;
  client.Store().SetPageSize(pageSize);
  client.Store().PutText(kServers, kOdd, row.text);
  const StoreReading reading = client.List();
  CHECK(reading.result == StoreResult::kDone);
  CHECK(NamesOf(reading) == NamesBeside(row));
  CHECK(SoundAsWritten(reading));
}

TEST_CASE("an entry that can't be read leaves the others of a watch readable", "[platform][store]")
{
  const OddEntry row = GENERATE(from_range(kOddEntries));
  INFO(row.what);
  ClientUnderTest client;
  client.Store().PutText(kServers, kOdd, row.text);
  const StoreReading reading = client.Watch(StoreRevision(1, kFirstStoreEra));
  CHECK(reading.result == StoreResult::kDone);
  CHECK(NamesOf(reading) == NamesBeside(row));
  CHECK(SoundAsWritten(reading));
  CHECK(reading.at == client.Store().Revision());
}

TEST_CASE("an event that can't be read leaves the others of a watch readable", "[platform][store]")
{
  struct Row
  {
    std::string event;
    bool named;
  };
  const std::string object = R"({"Metadata":{"Name":"i-odd","Revision":5},"Spec":{}})";
  const auto row = GENERATE_COPY(values<Row>({
    { "7", false },
    { "null", false },
    { "{}", false },
    { R"({"Removed":true})", false },
    { R"({"Object":null,"Removed":true})", false },
    { R"({"Object":)" + object + R"(,"Removed":"x"})", true },
    { R"({"Object":)" + object + R"(,"Removed":7})", true },
  }));
  INFO(row.event);
  const std::string sound =
    R"({"Object":{"Metadata":{"Name":"a","Revision":4},"Spec":{"n":1}},"Removed":false})";
  const StorePage page = leaf::try_handle_all(
    [&] { return ReadWatchAnswer(R"({"events":[)" + sound + "," + row.event + R"(],"At":9})"); },
    [] {
      FAIL_CHECK("rejected");
      return StorePage();
    });
  REQUIRE(page.objects.size() == (row.named ? 2 : 1));
  CHECK(page.objects[0].value == R"({"n":1})");
  if (row.named) {
    CHECK(page.objects[1].name == "i-odd");
    CHECK(page.objects[1].value == "null");
    CHECK(page.objects[1].revision == StoreRevision(9));
  }
}

TEST_CASE("a write's answer without a revision says nothing of the object", "[platform][store]")
{
  const OddEntry row = GENERATE(from_range(kOddEntries));
  INFO(row.what);
  ClientUnderTest client;
  client.Store().PutText("hawthornlug-ranges", kOdd, row.text);
  const StoreWrite write = client.Write(
    kOdd, StoreRevision(client.Store().Revision().Number() + 1, kFirstStoreEra), R"({"n":1})");
  const bool usable = row.known == Known::kMetadata;
  CHECK(write.result == (usable ? StoreResult::kConflict : StoreResult::kUnknown));
  CHECK(write.object.has_value() == usable);
}

TEST_CASE("a list whose pages come again ends, and is not taken for a whole one",
          "[platform][store]")
{
  const std::size_t pageSize = GENERATE(1, 2);
  ClientUnderTest client;
  client.Store().Put(kServers, "i-1", { { "n", 1 } });
  client.Store().SetPageSize(pageSize);
  client.Store().SetRepeating(true);
  const StoreReading reading = client.List();
  CHECK(reading.result == StoreResult::kIncomplete);
  CHECK(client.Store().PagesAsked(kServers) == 2);
  REQUIRE_FALSE(reading.objects.empty());
  CHECK(reading.objects[0].name == kSound.front());
  client.Store().SetRepeating(false);
  CHECK(client.List().result == StoreResult::kDone);
}

TEST_CASE("a page without a name to continue after ends a list that isn't whole",
          "[platform][store]")
{
  const auto row = GENERATE(values<std::string>({
    "null",
    R"({"Metadata":{"Name":"","Revision":5},"Spec":{}})",
    "{\"Metadata\":{\"Name\":\"i-\xFF\",\"Revision\":5},\"Spec\":{}}",
  }));
  INFO(row);
  ClientUnderTest client;
  client.Store().SetPageSize(1);
  client.Store().PutText(kServers, kOdd, row);
  const StoreReading reading = client.List();
  CHECK(reading.result == StoreResult::kIncomplete);
  CHECK(NamesOf(reading) == std::vector<std::string>{ kSound.front() });
  CHECK(client.Store().PagesAsked(kServers) == 2);
}

TEST_CASE("a list of any number of pages ends", "[platform][store]")
{
  constexpr unsigned kMaxPages = 256;
  ClientUnderTest client;
  client.Store().SetPageSize(1);
  for (unsigned n = 0; n < 2 * kMaxPages; ++n) {
    client.Store().Put(kServers, "i-" + std::to_string(n), { { "n", n } });
  }
  const StoreReading reading = client.List();
  CHECK(reading.result == StoreResult::kIncomplete);
  CHECK(reading.objects.size() == kMaxPages);
  CHECK(client.Store().PagesAsked(kServers) == kMaxPages);
}

TEST_CASE("a list that breaks behind its first page is not taken for a whole one",
          "[platform][store]")
{
  const auto answer = [](const std::string& aStatus, const std::string& aBody) {
    return "HTTP/1.1 " + aStatus + " X\r\nContent-Length: " + std::to_string(aBody.size()) +
           "\r\n\r\n" + aBody;
  };
  struct Row
  {
    const char* status;
    const char* body;
    StoreResult result;
  };
  const auto row = GENERATE(values<Row>({
    { "404", "", StoreResult::kIncomplete },
    { "200", "", StoreResult::kIncomplete },
    { "200", R"({"items":3,"HasMore":false,"At":9})", StoreResult::kIncomplete },
    { "200", R"({"items":[{"Metadata":]}],"HasMore":false,"At":9})", StoreResult::kIncomplete },
    { "200", R"({"items":[],"HasMore":true,"At":9})", StoreResult::kIncomplete },
    { "200", R"({"items":[],"HasMore":1,"At":9})", StoreResult::kIncomplete },
    { "200", R"({"items":[],"HasMore":false})", StoreResult::kIncomplete },
    { "410", "", StoreResult::kHistoryGone },
    { "429", "", StoreResult::kRefused },
    { "503", "", StoreResult::kRefused },
    { "500", "", StoreResult::kUnknown },
    { "302", "", StoreResult::kIncomplete },
    { "414", "", StoreResult::kIncomplete },
    { "431", "", StoreResult::kIncomplete },
  }));
  INFO(row.status << " " << row.body);
  asio::io_context context;
  testing::ByteServer store(
    context,
    { answer(
        "200",
        R"({"items":[{"Metadata":{"Name":"a","Revision":4},"Spec":{}}],"HasMore":true,"At":8})"),
      answer(row.status, row.body) });
  DecisionLog log("test");
  Metrics metrics;
  StoreClient client(context, store.Address(), log, metrics);
  std::optional<StoreReading> reading;
  client.List(
    ObjectKind::kServer, false, [&](const StoreReading& aReading) { reading = aReading; });
  REQUIRE(testing::RunUntil(context, [&] { return reading.has_value(); }));
  CHECK(reading->result == row.result);
  CHECK(reading->objects.size() == 1);
}

TEST_CASE("a list goes on before a name that is too long for a target", "[platform][store]")
{
  const std::string name = GENERATE(std::string(20000, 'n'), std::string(5000, '&'));
  ClientUnderTest client;
  client.Store().Put(kServers, name, { { "odd", true } });
  client.Store().SetPageSize(2);
  const StoreReading whole = client.List();
  CHECK(whole.result == StoreResult::kDone);
  CHECK(NamesOf(whole).back() == kSound.back());
  // Alone on its page it is a gap.
  client.Store().SetPageSize(1);
  const StoreReading part = client.List();
  CHECK(part.result == StoreResult::kIncomplete);
  CHECK(part.objects.size() == 2);
}

TEST_CASE("revisions carry the era that the store states; without the header it is 0",
          "[platform][store][era]")
{
  const bool states = GENERATE(true, false);
  ClientUnderTest client;
  if (!states) {
    client.Store().SetEraText("");
  }
  const StoreEra era = states ? kFirstStoreEra : 0;
  const StoreReading list = client.List();
  REQUIRE(list.result == StoreResult::kDone);
  CHECK(list.at.Era() == era);
  CHECK(list.objects.at(0).revision.Era() == era);
  CHECK(client.Client().Era() == era);
  const StoreWrite write = client.Write("keyed", StoreRevision(0, era), "{}");
  REQUIRE(write.result == StoreResult::kDone);
  CHECK(write.object->revision.Era() == era);
  CHECK(client.Watch(list.at).result == StoreResult::kDone);
}

TEST_CASE("an answer whose era is malformed, missing or earlier is not used",
          "[platform][store][era]")
{
  struct Row
  {
    const char* text;
    bool used;
  };
  const auto row = GENERATE(values<Row>({
    { "7", true },
    { "8", true },
    { "8388607", true },
    { "", false },
    { "6", false },
    { "0", false },
    { "-7", false },
    { "+7", false },
    { " 7 8", false },
    { "7.0", false },
    { "0x7", false },
    { "seven", false },
    { "8388608", false },
    { "18446744073709551623", false },
  }));
  INFO(row.text);
  ClientUnderTest client;
  client.Store().SetEraText("7");
  const StoreReading first = client.List();
  REQUIRE(first.result == StoreResult::kDone);
  client.Store().SetEraText(row.text);
  const StoreReading second = client.List();
  CHECK((second.result == StoreResult::kDone) == row.used);
  CHECK(second.objects.empty() != row.used);
  CHECK((client.Write("keyed", StoreRevision(0, client.Client().Era().value()), "{}").result ==
         StoreResult::kDone) == row.used);
  client.Store().SetEraText(row.used ? row.text : "7");
  CHECK(client.List().result == StoreResult::kDone);
}

TEST_CASE("a watch, a list and a write that began before a restore are not taken for its answers",
          "[platform][store][era]")
{
  ClientUnderTest client;
  const auto copy = client.Store().MakeCopy();
  const StoreWrite written = client.Write("keyed", StoreRevision(0, kFirstStoreEra), R"({"n":1})");
  REQUIRE(written.object);
  client.Store().RestoreFrom(*copy);
  // The number is given out again, to another state of the object.
  client.Store().Put("hawthornlug-ranges", "keyed", { { "n", 2 } });
  REQUIRE(client.Store().Revision().Number() == written.object->revision.Number());
  SECTION("a write with the same number")
  {
    const StoreWrite write = client.Write("keyed", written.object->revision, R"({"n":3})");
    CHECK(write.result == StoreResult::kUnknown);
    CHECK_FALSE(write.object);
    // From now on the client knows the era, and does not send such a write.
    client.Store().Put("hawthornlug-ranges", "keyed", { { "n", 4 } });
    CHECK(client.Write("keyed", written.object->revision, "{}").result == StoreResult::kRefused);
    CHECK(client.Store().Find("hawthornlug-ranges", "keyed")->at("n") == 4);
  }
  SECTION("a watch from a revision that exists again")
  {
    const StoreRevision since(written.object->revision.Number() - 1, kFirstStoreEra);
    CHECK(client.Watch(since).result == StoreResult::kHistoryGone);
  }
  SECTION("a watch from a revision that the store has lost")
  {
    const StoreRevision since(written.object->revision.Number() + 9, kFirstStoreEra);
    CHECK(client.Watch(since).result == StoreResult::kHistoryGone);
  }
  SECTION("pages of two eras")
  {
    client.Store().SetPageSize(1);
    client.Store().RestoreAfterPages(1);
    const StoreReading list = client.List();
    CHECK(list.result == StoreResult::kUnknown);
  }
}
