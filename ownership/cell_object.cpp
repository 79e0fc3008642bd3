#include "ownership/cell_object.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace hawthornlug {

namespace {

using nlohmann::json;

json EncodeDaemonRef(const DaemonRef& aRef)
{
  return json::array({ aRef.id, aRef.incarnation });
}

DaemonRef DecodeDaemonRef(const json& aValue)
{
  return { aValue.at(0).get<std::string>(), aValue.at(1).get<Incarnation>() };
}

/// Server names in the order of their first use. Shards refer to a server by its index in this
/// list, which keeps the text of large cells short.
class ServerNameTable
{
public:
  /// Returns the index of @p aName, adding it if it is new; -1 for the empty name.
  int IndexOf(const std::string& aName)
  {
    if (aName.empty()) {
      return -1;
    }
    const auto it = std::find(mNames.begin(), mNames.end(), aName);
    if (it != mNames.end()) {
      return static_cast<int>(it - mNames.begin());
    }
    mNames.push_back(aName);
    return static_cast<int>(mNames.size()) - 1;
  }

  const std::vector<std::string>& Names() const { return mNames; }

private:
  std::vector<std::string> mNames;
};

std::string NameAt(const std::vector<std::string>& aNames, int aIndex)
{
  return aIndex < 0 ? std::string() : aNames.at(static_cast<std::size_t>(aIndex));
}

json EncodeServers(const CellObject& aCell)
{
  json servers = json::object();
  for (const auto& [id, record] : aCell.servers) {
    json earlierLeaders = json::array();
    for (const DaemonRef& it : record.earlierLeaders) {
      earlierLeaders.push_back(EncodeDaemonRef(it));
    }
    servers[id] = { { "incarnation", record.incarnation }, { "holders", earlierLeaders } };
  }
  return servers;
}

void DecodeServers(const json& aValue, CellObject& aCell)
{
  for (const auto& [id, value] : aValue.items()) {
    ServerRecord record;
    record.incarnation = value.at("incarnation").get<Incarnation>();
    for (const json& it : value.at("holders")) {
      record.earlierLeaders.push_back(DecodeDaemonRef(it));
    }
    aCell.servers.emplace(id, std::move(record));
  }
}

CellObject DecodeJson(const json& aDoc)
{
  CellObject cell;
  cell.attached = DecodeDaemonRef(aDoc.at("attached"));
  cell.token = aDoc.at("token").get<FencingToken>();
  DecodeServers(aDoc.at("servers"), cell);
  const auto names = aDoc.at("names").get<std::vector<std::string>>();
  for (const json& it : aDoc.at("shards")) {
    ShardRecord record;
    record.epoch = it.at(1).get<Epoch>();
    record.owner = NameAt(names, it.at(2).get<int>());
    record.standby = NameAt(names, it.at(3).get<int>());
    cell.shards.emplace(it.at(0).get<ShardId>(), std::move(record));
  }
  for (const json& it : aDoc.at("outs")) {
    cell.departures.emplace(it.at(0).get<ShardId>(),
                            DepartureRecord{ it.at(1).get<Epoch>(), it.at(2).get<std::string>() });
  }
  for (const json& it : aDoc.at("arrivals")) {
    cell.arrivals.emplace(it.at(0).get<ShardId>(), it.at(1).get<std::string>());
  }
  return cell;
}

} // namespace

std::string EncodeCell(const CellObject& aCell)
{
  ServerNameTable names;
  json shards = json::array();
  for (const auto& [shard, record] : aCell.shards) {
    const int owner = names.IndexOf(record.owner);
    const int standby = names.IndexOf(record.standby);
    shards.push_back(json::array({ shard, record.epoch, owner, standby }));
  }
  json departures = json::array();
  for (const auto& [shard, record] : aCell.departures) {
    departures.push_back(json::array({ shard, record.epoch, record.toCell }));
  }
  json arrivals = json::array();
  for (const auto& [shard, cell] : aCell.arrivals) {
    arrivals.push_back(json::array({ shard, cell }));
  }
  const json doc = { { "attached", EncodeDaemonRef(aCell.attached) },
                     { "token", aCell.token },
                     { "servers", EncodeServers(aCell) },
                     { "names", names.Names() },
                     { "shards", std::move(shards) },
                     { "outs", std::move(departures) },
                     { "arrivals", std::move(arrivals) } };
  return JsonText(doc);
}

Result<CellObject> DecodeCell(const std::string& aText)
{
  const json doc = json::parse(aText, nullptr, false);
  if (doc.is_discarded()) {
    return leaf::new_error(PlatformError::kMalformed);
  }
  try {
    return DecodeJson(doc);
  } catch (const std::exception&) {
    return leaf::new_error(PlatformError::kMalformed);
  }
}

std::string CellName(const std::string& aService, const std::string& aDomain, std::size_t aNumber)
{
  return "cells/" + aService + "/" + aDomain + "/" + std::to_string(aNumber);
}

std::optional<CellAddress> ParseCellName(const std::string& aName)
{
  const std::string prefix = "cells/";
  if (aName.rfind(prefix, 0) != 0) {
    return std::nullopt;
  }
  const std::size_t service = prefix.size();
  const std::size_t domain = aName.find('/', service);
  const std::size_t number = aName.rfind('/');
  if (domain == std::string::npos || number <= domain) {
    return std::nullopt;
  }
  CellAddress address;
  address.service = aName.substr(service, domain - service);
  address.domain = aName.substr(domain + 1, number - domain - 1);
  const char* first = aName.data() + number + 1;
  const char* last = aName.data() + aName.size();
  const auto [end, ec] = std::from_chars(first, last, address.number);
  if (ec != std::errc() || end != last) {
    return std::nullopt;
  }
  return address;
}

} // namespace hawthornlug
