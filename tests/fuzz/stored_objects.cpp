/// @file
/// Fuzzes what is read from stores and files: answers, entries, configurations, settings, records.
/// Each reader gives a value or a typed error. The first byte chooses the reader.

#include "config/stored_config.h"
#include "core/json_members.h"
#include "http/syntax.h"
#include "http/target.h"
#include "ownership/cell_object.h"
#include "ownership/key_range.h"
#include "platform/host_settings.h"
#include "platform/object_reader.h"
#include "platform/organisation_keys.h"
#include "platform/store_answers.h"
#include "routing/route_table.h"
#include "tests/fuzz/fuzz.h"

using namespace hawthornlug;
using namespace hawthornlug::platform;

namespace {

/// Runs @p aRead, whose errors must be of one of the types given.
template<typename... Errors, typename Read>
void ReadTyped(Read aRead)
{
  leaf::try_handle_all(
    [&]() -> Result<void> {
      BOOST_LEAF_CHECK(aRead());
      return {};
    },
    [](const Errors&) {}...,
    [] { CHECK_ALWAYS(!"an error of another type"); });
}

DecisionLog& Log()
{
  static DecisionLog log("fuzz");
  return log;
}

/// A configuration says the same after its keys were replaced by digests, or is refused both times.
/// Replacing them once more changes nothing.
void CheckRedaction(const StoredObject& aObject)
{
  PlatformObjectReader reader(Log());
  const std::string redacted = RedactKeys(aObject.value);
  CHECK_ALWAYS(RedactKeys(redacted) == redacted);
  const auto before = reader.ReadConfiguration({ "main", StoreRevision(1), false, aObject.value });
  const auto after = reader.ReadConfiguration({ "main", StoreRevision(1), false, redacted });
  CHECK_ALWAYS(before.has_value() == after.has_value());
  if (!before) {
    return;
  }
  RouteTable table;
  table.Apply(*before);
  CHECK_ALWAYS(before->organisations.size() == after->organisations.size());
  for (const auto& [name, rule] : after->organisations) {
    CHECK_ALWAYS(before->organisations.at(name).keys == rule.keys);
    CHECK_ALWAYS(before->organisations.at(name).priority == rule.priority);
    CHECK_ALWAYS(rule.ratePerSecond >= 0.0 && rule.burst >= 0.0);
    for (const KeyDigest& it : rule.keys) {
      CHECK_ALWAYS(redacted.find(ToText(it)) != std::string::npos);
      const OrganisationRule* const found = table.FindOrganisation(it);
      CHECK_ALWAYS(before->version == 0 || (found != nullptr && found->name == name));
    }
  }
}

/// A name of an entry is what a server decodes from a request's target, and nothing else is.
void CheckName(const std::string& aName)
{
  http::Request request;
  request.method = "GET";
  request.target = http::TargetBuilder("/x").Segment(aName).Parameter("after", aName).Build();
  CHECK_ALWAYS(http::IsWellFormed(request));
  CHECK_ALWAYS(http::DecodePercent(request.Path()) == "/x/" + aName);
  CHECK_ALWAYS(request.Query().find_first_of("&#") == std::string_view::npos);
  CHECK_ALWAYS(http::QueryValue(request.Query(), "after") == aName);
}

/// A server that is used can be told its id in a header.
void CheckServer(const StoredObject& aObject)
{
  PlatformObjectReader reader(Log());
  if (const auto server = reader.ReadServer(aObject)) {
    http::Headers headers;
    headers.Add("X", server->id);
    CHECK_ALWAYS(http::IsWellFormed(headers) && !server->id.empty());
    CHECK_ALWAYS(server->id.front() != ' ' && server->id.back() != ' ');
  }
}

/// Reads a page as @p aRead does, and each object in it.
Result<void> ReadPage(Result<StorePage> (*aRead)(const std::string&), const std::string& aText)
{
  BOOST_LEAF_AUTO(page, aRead(aText));
  for (const StoredObject& it : page.objects) {
    CheckName(it.name);
    CheckServer(it);
    CheckRedaction(it);
  }
  return {};
}

/// Reads @p aEntry between two sound entries, which must be read whatever it is. A text that ends
/// its place in the list is no entry.
void CheckEntry(Result<StorePage> (*aRead)(const std::string&),
                const std::string& aStart,
                const std::string& aEntry,
                const std::string& aEnd)
{
  const auto values = SplitArray("[" + aEntry + "]");
  if (!values || values->size() != 1) {
    return;
  }
  const std::string first = R"({"Metadata":{"Name":"a","Revision":3},"Spec":{"n":1}})";
  const std::string last = R"({"Metadata":{"Name":"z","Revision":4},"Spec":{"n":2}})";
  const auto wrap = [&](const std::string& aText) { return aStart + aText + aEnd; };
  const std::string list = wrap(first) + "," + wrap(aEntry) + "," + wrap(last);
  const auto page = leaf::try_handle_all(
    [&]() -> Result<std::optional<StorePage>> {
      BOOST_LEAF_AUTO(read,
                      aRead(R"({"items":[)" + list + R"(],"events":[)" + list + R"(],"At":9})"));
      return std::optional(std::move(read));
    },
    []() -> std::optional<StorePage> { return std::nullopt; });
  CHECK_ALWAYS(page && page->at == StoreRevision(9));
  const std::vector<StoredObject>& objects = page->objects;
  CHECK_ALWAYS(objects.size() == 2 || objects.size() == 3);
  CHECK_ALWAYS(objects.front().name == "a" && objects.front().value == R"({"n":1})");
  CHECK_ALWAYS(objects.back().name == "z" && objects.back().value == R"({"n":2})");
  CHECK_ALWAYS(objects.size() == 3 || page->unreadable.size() == 1);
  if (objects.size() == 3) {
    CHECK_ALWAYS(!objects[1].name.empty());
    CheckName(objects[1].name);
    CheckServer(objects[1]);
  }
}

/// A cell that was read, written and read again is the same.
Result<void> ReadCell(const std::string& aText)
{
  BOOST_LEAF_AUTO(cell, DecodeCell(aText));
  BOOST_LEAF_AUTO(again, DecodeCell(EncodeCell(cell)));
  CHECK_ALWAYS(cell == again);
  return {};
}

/// An era that was accepted is the number that stands there.
void CheckEra(const std::string& aText)
{
  StoreEra era = 0;
  if (ReadEra(aText, era) == StatedEra::kStated) {
    const std::size_t zeros = std::min(aText.find_first_not_of('0'), aText.size() - 1);
    CHECK_ALWAYS(aText.substr(zeros) == std::to_string(era));
    CHECK_ALWAYS(FirstNumberOf(era) >> kBitsWithinEra == era);
  }
}

/// The ranges of a record that was accepted cover all keys, each once.
void ReadRanges(const std::string& aText)
{
  RangeRecord record;
  if (!DecodeRangeRecord(aText, record)) {
    return;
  }
  RangeKey next = 0;
  for (const OwnedRange& it : record.ranges) {
    CHECK_ALWAYS(it.keys.from == next && it.keys.to >= it.keys.from);
    CHECK_ALWAYS(it.keys.to <= kLastKey);
    next = it.keys.to + 1;
  }
  CHECK_ALWAYS(record.ranges.empty() || next == kLastKey + 1);
  RangeRecord again;
  CHECK_ALWAYS(DecodeRangeRecord(EncodeRangeRecord(record), again));
  CHECK_ALWAYS(EncodeRangeRecord(again) == EncodeRangeRecord(record));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  if (aSize == 0) {
    return 0;
  }
  const std::string text(TextFrom(aData + 1, aSize - 1));
  PlatformObjectReader reader(Log());
  switch (aData[0] % 10) {
    case 0:
      ReadTyped<AnswerError>([&] { return ReadPage(ReadListAnswer, text); });
      break;
    case 1:
      ReadTyped<AnswerError>([&] { return ReadPage(ReadWatchAnswer, text); });
      break;
    case 2:
      ReadTyped<AnswerError>([&] { return ReadObjectAnswer(text); });
      CheckEra(text);
      CheckEntry(ReadListAnswer, "", text, "");
      CheckEntry(ReadWatchAnswer, R"({"Object":)", text, "}");
      break;
    case 3:
      reader.ReadServer({ "name", StoreRevision(1), false, text });
      break;
    case 4:
      CheckRedaction({ "main", StoreRevision(1), false, text });
      break;
    case 5:
      ReadTyped<SettingError>([&] { return ParseHostSettings(text); });
      break;
    case 6:
      ReadTyped<PlatformError>([&] { return ReadCell(text); });
      break;
    case 7:
      ReadTyped<PlatformError>([&] { return DecodeStoredConfig(text); });
      break;
    case 8:
      ReadTyped<PlatformError>([&] { return DecodeLayout(text); });
      break;
    default:
      ReadRanges(text);
  }
  return 0;
}
