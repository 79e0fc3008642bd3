#include "config/stored_config.h"

#include "core/hashing.h"
#include "core/json_text.h"
#include "core/trace_context.h"
#include "ownership/cell_object.h"

#include <nlohmann/json.hpp>

namespace hawthornlug {

using nlohmann::json;

std::string EncodeStoredConfig(const Configuration& aConfig, const std::string& aApplyId)
{
  const std::string content = EncodeConfiguration(aConfig);
  const json doc = { { "hash", Hex(HashOf(content)) },
                     { "apply_id", aApplyId },
                     { "content", content } };
  return JsonText(doc);
}

Result<StoredConfig> DecodeStoredConfig(const std::string& aText)
{
  const json doc = json::parse(aText, nullptr, false);
  const bool complete = doc.is_object() && doc.contains("hash") && doc.contains("apply_id") &&
                        doc.contains("content") && doc["hash"].is_string() &&
                        doc["apply_id"].is_string() && doc["content"].is_string();
  if (!complete) {
    return leaf::new_error(PlatformError::kMalformed);
  }
  StoredConfig stored;
  stored.hash = doc["hash"].get<std::string>();
  stored.applyId = doc["apply_id"].get<std::string>();
  const auto content = doc["content"].get<std::string>();
  if (Hex(HashOf(content)) != stored.hash) {
    return leaf::new_error(PlatformError::kMalformed);
  }
  BOOST_LEAF_ASSIGN(stored.config, ParseConfiguration({ ConfigFile{ kConfigObject, content } }));
  return stored;
}

std::string LayoutName(const std::string& aService)
{
  return "services/" + aService;
}

ServiceLayout MakeLayout(const ServiceConfig& aService)
{
  std::map<std::string, std::size_t> cellSizes;
  for (const ServerConfig& it : aService.servers) {
    ++cellSizes[CellName(aService.name, it.domain, it.cell.value_or(0))];
  }
  ServiceLayout layout;
  std::size_t serversSoFar = 0;
  ShardId first = 0;
  for (const auto& [cell, size] : cellSizes) {
    serversSoFar += size;
    const auto last =
      static_cast<ShardId>(aService.shards * serversSoFar / aService.servers.size());
    layout[cell] = { first, last };
    first = last;
  }
  return layout;
}

std::string EncodeLayout(const ServiceLayout& aLayout)
{
  json doc = json::object();
  for (const auto& [cell, range] : aLayout) {
    doc[cell] = json::array({ range.first, range.second });
  }
  return JsonText(doc);
}

Result<ServiceLayout> DecodeLayout(const std::string& aText)
{
  const json doc = json::parse(aText, nullptr, false);
  if (!doc.is_object()) {
    return leaf::new_error(PlatformError::kMalformed);
  }
  ServiceLayout layout;
  for (const auto& [cell, range] : doc.items()) {
    if (!range.is_array() || range.size() != 2 || !range[0].is_number_unsigned() ||
        !range[1].is_number_unsigned()) {
      return leaf::new_error(PlatformError::kMalformed);
    }
    layout[cell] = { range[0].get<ShardId>(), range[1].get<ShardId>() };
  }
  return layout;
}

std::vector<CellConfig> CellsOf(const Configuration& aConfig)
{
  std::map<std::string, CellConfig> cells;
  for (const ServiceConfig& service : aConfig.services) {
    for (const ServerConfig& it : service.servers) {
      const std::string name = CellName(service.name, it.domain, it.cell.value_or(0));
      CellConfig& cell = cells[name];
      cell.name = name;
      cell.service = service.name;
      cell.domain = it.domain;
      cell.servers.push_back(it);
    }
  }
  std::vector<CellConfig> list;
  list.reserve(cells.size());
  for (auto& [name, cell] : cells) {
    list.push_back(std::move(cell));
  }
  return list;
}

} // namespace hawthornlug
