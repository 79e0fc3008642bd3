#include "ownership/key_range.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

namespace {

using Json = nlohmann::json;

/// Whether the ranges are sorted, contiguous and cover all keys.
bool CoversAllKeys(const std::vector<OwnedRange>& aRanges)
{
  std::uint64_t next = 0;
  for (const OwnedRange& it : aRanges) {
    if (it.keys.from != next || it.keys.to < it.keys.from || it.keys.to > kLastKey) {
      return false;
    }
    next = static_cast<std::uint64_t>(it.keys.to) + 1;
  }
  return next == static_cast<std::uint64_t>(kLastKey) + 1;
}

} // namespace

std::string EncodeRangeRecord(const RangeRecord& aRecord)
{
  Json ranges = Json::array();
  for (const OwnedRange& it : aRecord.ranges) {
    ranges.push_back({ it.keys.from, it.keys.to, it.owner.id, it.owner.incarnation, it.token });
    if (it.uncertain) {
      ranges.back().push_back(true);
    }
  }
  Json earlier = Json::array();
  for (const EarlierLeader& it : aRecord.earlierLeaders) {
    earlier.push_back({ it.daemon.id, it.daemon.incarnation, it.term });
  }
  Json record = { { "holder", aRecord.leader.id },   { "incarnation", aRecord.leader.incarnation },
                  { "earlier", std::move(earlier) }, { "term", aRecord.term },
                  { "write", aRecord.writeNumber },  { "ranges", std::move(ranges) } };
  if (aRecord.era) {
    record["era"] = *aRecord.era;
  }
  if (aRecord.countsFrom != 0) {
    record["counts-from"] = aRecord.countsFrom;
  }
  return JsonText(record);
}

bool DecodeRangeRecord(const std::string& aJson, RangeRecord& aRecord)
{
  try {
    const Json record = Json::parse(aJson);
    aRecord.leader = { record.at("holder").get<std::string>(),
                       record.at("incarnation").get<Incarnation>() };
    aRecord.term = record.at("term").get<std::uint64_t>();
    aRecord.writeNumber = record.at("write").get<std::uint64_t>();
    aRecord.earlierLeaders.clear();
    // Daemons of earlier versions do not write the list.
    for (const Json& it : record.value("earlier", Json::array())) {
      aRecord.earlierLeaders.push_back(
        { { it.at(0).get<std::string>(), it.at(1).get<Incarnation>() },
          it.at(2).get<std::uint64_t>() });
    }
    aRecord.countsFrom = record.value("counts-from", std::uint64_t{ 0 });
    aRecord.era.reset();
    if (record.contains("era")) {
      aRecord.era = record.at("era").get<StoreEra>();
    }
    aRecord.ranges.clear();
    for (const Json& it : record.at("ranges")) {
      OwnedRange range;
      range.keys = { it.at(0).get<RangeKey>(), it.at(1).get<RangeKey>() };
      range.owner = { it.at(2).get<std::string>(), it.at(3).get<Incarnation>() };
      range.token = it.at(4).get<FencingToken>();
      range.uncertain = it.size() > 5 && it.at(5).get<bool>();
      aRecord.ranges.push_back(std::move(range));
    }
  } catch (const Json::exception&) {
    return false;
  }
  return CoversAllKeys(aRecord.ranges);
}

} // namespace hawthornlug
