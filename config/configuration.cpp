#include "config/configuration.h"

#include "core/json_text.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <map>

namespace hawthornlug {

namespace {

constexpr std::uint32_t kMaxShards = 65536;
constexpr std::uint32_t kMaxSlots = 10000;
constexpr std::uint32_t kMaxConnections = 100000;
constexpr std::int64_t kMaxDeadlineMs = 60000;
constexpr std::size_t kServersPerCell = 4;
constexpr std::size_t kMaxNameLength = 63;

using Fields = std::map<std::string, YAML::Node>;

auto Fail(ConfigErrorKind aKind, const std::string& aWhere, const std::string& aWhat)
{
  return leaf::new_error(ConfigError{ aKind, aWhere, aWhat });
}

/// A place in a file, for messages.
class Place
{
public:
  Place(std::string aFile, std::string aPath)
    : mFile(std::move(aFile))
    , mPath(std::move(aPath))
  {
  }

  Place Below(const std::string& aName) const
  {
    return { mFile, mPath.empty() ? aName : mPath + "." + aName };
  }

  std::string At(const YAML::Node& aNode) const
  {
    const YAML::Mark mark = aNode.Mark();
    std::string where = mFile;
    if (!mark.is_null()) {
      where += ":" + std::to_string(mark.line + 1);
    }
    return mPath.empty() ? where : where + " " + mPath;
  }

private:
  std::string mFile;
  std::string mPath;
};

/// Takes a mapping apart and refuses fields that are unknown or stand twice.
Result<Fields> ReadFields(const YAML::Node& aNode,
                          const Place& aPlace,
                          const std::vector<std::string>& aKnown)
{
  if (!aNode.IsMap()) {
    return Fail(ConfigErrorKind::kBadValue, aPlace.At(aNode), "a mapping is expected");
  }
  Fields fields;
  for (const auto& it : aNode) {
    if (!it.first.IsScalar()) {
      return Fail(ConfigErrorKind::kSyntax, aPlace.At(it.first), "a field's name is expected");
    }
    const auto name = it.first.as<std::string>();
    if (std::find(aKnown.begin(), aKnown.end(), name) == aKnown.end()) {
      return Fail(ConfigErrorKind::kUnknownField, aPlace.At(it.first), name);
    }
    if (!fields.emplace(name, it.second).second) {
      return Fail(ConfigErrorKind::kDuplicateKey, aPlace.At(it.first), name);
    }
  }
  return fields;
}

Result<std::string> ReadText(const Fields& aFields, const std::string& aName, const Place& aPlace)
{
  const auto it = aFields.find(aName);
  if (it == aFields.end()) {
    return Fail(ConfigErrorKind::kMissingField, aPlace.At(YAML::Node()), aName);
  }
  if (!it->second.IsScalar() || it->second.Scalar().empty()) {
    return Fail(ConfigErrorKind::kBadValue, aPlace.At(it->second), aName + " must be a text");
  }
  return it->second.Scalar();
}

Result<std::string> ReadName(const Fields& aFields, const std::string& aName, const Place& aPlace)
{
  BOOST_LEAF_AUTO(text, ReadText(aFields, aName, aPlace));
  const bool shaped =
    text.size() <= kMaxNameLength && std::isalnum(static_cast<unsigned char>(text[0])) != 0 &&
    std::all_of(text.begin(), text.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' || aChar == '.';
    });
  if (!shaped) {
    return Fail(ConfigErrorKind::kBadValue,
                aPlace.At(aFields.at(aName)),
                "'" + text + "' is not a name of letters, digits, '-', '_' and '.'");
  }
  return text;
}

template<typename T>
Result<T> ReadNumber(const Fields& aFields,
                     const std::string& aName,
                     const Place& aPlace,
                     T aDefault,
                     T aMin,
                     T aMax)
{
  const auto it = aFields.find(aName);
  if (it == aFields.end()) {
    return aDefault;
  }
  T value{};
  const bool read = it->second.IsScalar() && YAML::convert<T>::decode(it->second, value);
  if (!read || value < aMin || value > aMax) {
    return Fail(ConfigErrorKind::kBadValue,
                aPlace.At(it->second),
                aName + " must be a number from " + std::to_string(aMin) + " to " +
                  std::to_string(aMax));
  }
  return value;
}

template<typename E, std::size_t N>
Result<E> ReadEnum(const Fields& aFields,
                   const std::string& aName,
                   const Place& aPlace,
                   const EnumNames<N>& aNames,
                   E aDefault)
{
  const auto it = aFields.find(aName);
  if (it == aFields.end()) {
    return aDefault;
  }
  const auto value =
    it->second.IsScalar() ? ValueOf<E>(aNames, it->second.Scalar()) : std::optional<E>();
  if (!value) {
    std::string known;
    for (const std::string_view name : aNames) {
      known += known.empty() ? std::string(name) : ", " + std::string(name);
    }
    return Fail(
      ConfigErrorKind::kBadValue, aPlace.At(it->second), aName + " must be one of " + known);
  }
  return *value;
}

Result<std::vector<YAML::Node>> ReadList(const Fields& aFields,
                                         const std::string& aName,
                                         const Place& aPlace)
{
  std::vector<YAML::Node> items;
  const auto it = aFields.find(aName);
  if (it == aFields.end() || it->second.IsNull()) {
    return items;
  }
  if (!it->second.IsSequence()) {
    return Fail(ConfigErrorKind::kBadValue, aPlace.At(it->second), aName + " must be a list");
  }
  for (const auto& item : it->second) {
    items.push_back(item);
  }
  return items;
}

Result<DomainConfig> ReadDomain(const YAML::Node& aNode, const Place& aPlace)
{
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPlace, { "name", "state" }));
  DomainConfig domain;
  BOOST_LEAF_ASSIGN(domain.name, ReadName(fields, "name", aPlace));
  BOOST_LEAF_ASSIGN(domain.state,
                    ReadEnum(fields, "state", aPlace, kDomainStateNames, DomainState::kIn));
  return domain;
}

Result<HostConfig> ReadHost(const YAML::Node& aNode, const Place& aPlace)
{
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPlace, { "id", "state" }));
  HostConfig host;
  BOOST_LEAF_ASSIGN(host.id, ReadName(fields, "id", aPlace));
  BOOST_LEAF_ASSIGN(host.state, ReadEnum(fields, "state", aPlace, kUnitStateNames, UnitState::kIn));
  return host;
}

Result<ServerConfig> ReadServer(const YAML::Node& aNode, const Place& aPlace, Fencing aFencing)
{
  BOOST_LEAF_AUTO(fields,
                  ReadFields(aNode, aPlace, { "id", "domain", "url", "state", "fencing", "cell" }));
  ServerConfig server;
  BOOST_LEAF_ASSIGN(server.id, ReadName(fields, "id", aPlace));
  BOOST_LEAF_ASSIGN(server.domain, ReadName(fields, "domain", aPlace));
  BOOST_LEAF_ASSIGN(server.url, ReadText(fields, "url", aPlace));
  BOOST_LEAF_ASSIGN(server.state,
                    ReadEnum(fields, "state", aPlace, kUnitStateNames, UnitState::kIn));
  BOOST_LEAF_ASSIGN(server.fencing, ReadEnum(fields, "fencing", aPlace, kFencingNames, aFencing));
  if (server.url.rfind("http://", 0) != 0) {
    return Fail(ConfigErrorKind::kBadValue, aPlace.At(fields.at("url")), "url must be http://");
  }
  if (fields.count("cell") != 0) {
    BOOST_LEAF_AUTO(cell, ReadNumber<std::uint32_t>(fields, "cell", aPlace, 0, 0, kMaxShards));
    server.cell = cell;
  }
  return server;
}

Result<std::set<std::string>> ReadRepeatable(const Fields& aFields, const Place& aPlace)
{
  std::set<std::string> methods = { "GET", "HEAD" };
  if (aFields.count("repeatable") == 0) {
    return methods;
  }
  methods.clear();
  BOOST_LEAF_AUTO(items, ReadList(aFields, "repeatable", aPlace));
  for (const YAML::Node& it : items) {
    const std::string name = it.IsScalar() ? it.Scalar() : std::string();
    const bool shaped = !name.empty() && std::all_of(name.begin(), name.end(), [](char aChar) {
      return aChar >= 'A' && aChar <= 'Z';
    });
    if (!shaped) {
      return Fail(
        ConfigErrorKind::kBadValue, aPlace.At(it), "repeatable must list methods in capitals");
    }
    methods.insert(name);
  }
  return methods;
}

Result<ServiceConfig> ReadService(const YAML::Node& aNode, const Place& aPlace)
{
  BOOST_LEAF_AUTO(fields,
                  ReadFields(aNode,
                             aPlace,
                             { "name",
                               "shards",
                               "slots",
                               "connections",
                               "deadline_ms",
                               "repeatable",
                               "fencing",
                               "servers" }));
  ServiceConfig service;
  BOOST_LEAF_ASSIGN(service.name, ReadName(fields, "name", aPlace));
  const Place place = aPlace.Below(service.name);
  BOOST_LEAF_ASSIGN(
    service.shards,
    ReadNumber<std::uint32_t>(fields, "shards", place, service.shards, 1, kMaxShards));
  BOOST_LEAF_ASSIGN(service.slots,
                    ReadNumber<std::uint32_t>(fields, "slots", place, 1, 1, kMaxSlots));
  BOOST_LEAF_ASSIGN(service.connections,
                    ReadNumber<std::uint32_t>(
                      fields, "connections", place, service.connections, 1, kMaxConnections));
  BOOST_LEAF_AUTO(deadlineMs,
                  ReadNumber<std::int64_t>(
                    fields, "deadline_ms", place, Millis(service.deadline), 1, kMaxDeadlineMs));
  service.deadline = milliseconds(deadlineMs);
  BOOST_LEAF_ASSIGN(service.repeatable, ReadRepeatable(fields, place));
  BOOST_LEAF_AUTO(fencing, ReadEnum(fields, "fencing", place, kFencingNames, Fencing::kChecked));
  BOOST_LEAF_AUTO(servers, ReadList(fields, "servers", place));
  for (const YAML::Node& it : servers) {
    BOOST_LEAF_AUTO(server, ReadServer(it, place.Below("servers"), fencing));
    service.servers.push_back(std::move(server));
  }
  return service;
}

Result<PlacementConfig> ReadPlacement(const YAML::Node& aNode, const Place& aPlace)
{
  constexpr double kAllShards = 100.0;
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPlace, { "churn_percent_per_minute" }));
  PlacementConfig placement;
  BOOST_LEAF_ASSIGN(placement.churnPercentPerMinute,
                    ReadNumber<double>(fields,
                                       "churn_percent_per_minute",
                                       aPlace,
                                       placement.churnPercentPerMinute,
                                       0.0,
                                       kAllShards));
  return placement;
}

Result<void> ReadFile(const ConfigFile& aFile, Configuration& aConfig)
{
  const Place place(aFile.name, {});
  YAML::Node root;
  try {
    root = YAML::Load(aFile.text);
  } catch (const YAML::Exception& e) {
    return Fail(
      ConfigErrorKind::kSyntax, aFile.name + ":" + std::to_string(e.mark.line + 1), e.msg);
  }
  BOOST_LEAF_AUTO(fields,
                  ReadFields(root, place, { "failure_domains", "services", "hosts", "placement" }));
  BOOST_LEAF_AUTO(domains, ReadList(fields, "failure_domains", place));
  for (const YAML::Node& it : domains) {
    BOOST_LEAF_AUTO(domain, ReadDomain(it, place.Below("failure_domains")));
    aConfig.domains.push_back(std::move(domain));
  }
  BOOST_LEAF_AUTO(services, ReadList(fields, "services", place));
  for (const YAML::Node& it : services) {
    BOOST_LEAF_AUTO(service, ReadService(it, place.Below("services")));
    aConfig.services.push_back(std::move(service));
  }
  BOOST_LEAF_AUTO(hosts, ReadList(fields, "hosts", place));
  for (const YAML::Node& it : hosts) {
    BOOST_LEAF_AUTO(host, ReadHost(it, place.Below("hosts")));
    aConfig.hosts.push_back(std::move(host));
  }
  if (fields.count("placement") != 0) {
    BOOST_LEAF_ASSIGN(aConfig.placement,
                      ReadPlacement(fields.at("placement"), place.Below("placement")));
  }
  return {};
}

Result<void> CheckWhole(const Configuration& aConfig)
{
  std::set<std::string> domains;
  for (const DomainConfig& it : aConfig.domains) {
    if (!domains.insert(it.name).second) {
      return Fail(ConfigErrorKind::kDuplicateName, "failure_domains", it.name);
    }
  }
  std::set<std::string> services;
  std::set<std::string> servers;
  std::set<std::string> urls;
  for (const ServiceConfig& service : aConfig.services) {
    if (!services.insert(service.name).second) {
      return Fail(ConfigErrorKind::kDuplicateName, "services", service.name);
    }
    if (service.servers.empty()) {
      return Fail(ConfigErrorKind::kMissingField, "services." + service.name, "servers");
    }
    for (const ServerConfig& it : service.servers) {
      const std::string where = "services." + service.name + ".servers." + it.id;
      if (domains.count(it.domain) == 0) {
        return Fail(ConfigErrorKind::kUnknownDomain, where, it.domain);
      }
      if (!servers.insert(it.id).second) {
        return Fail(ConfigErrorKind::kDuplicateName, where, it.id);
      }
      if (!urls.insert(it.url).second) {
        return Fail(ConfigErrorKind::kDuplicateName, where, it.url);
      }
    }
  }
  return {};
}

const ServerConfig* FindServer(const ServiceConfig& aService, const std::string& aId)
{
  const auto it = std::find_if(aService.servers.begin(),
                               aService.servers.end(),
                               [&](const ServerConfig& aServer) { return aServer.id == aId; });
  return it == aService.servers.end() ? nullptr : &*it;
}

/// Gives servers without a cell the first cell of their domain that has room.
void AssignCells(ServiceConfig& aService)
{
  std::map<std::string, std::map<std::size_t, std::size_t>> sizes;
  std::map<std::string, std::size_t> totals;
  for (const ServerConfig& it : aService.servers) {
    if (it.cell) {
      ++sizes[it.domain][*it.cell];
    }
    ++totals[it.domain];
  }
  for (ServerConfig& it : aService.servers) {
    if (it.cell) {
      continue;
    }
    // Spread evenly over as few cells as hold all servers of the domain.
    const std::size_t cells = (totals[it.domain] + kServersPerCell - 1) / kServersPerCell;
    const std::size_t room = (totals[it.domain] + cells - 1) / cells;
    std::size_t n = 0;
    while (sizes[it.domain][n] >= room) {
      ++n;
    }
    it.cell = n;
    ++sizes[it.domain][n];
  }
}

} // namespace

const ServiceConfig* Configuration::FindService(const std::string& aName) const
{
  const auto it = std::find_if(services.begin(), services.end(), [&](const ServiceConfig& aItem) {
    return aItem.name == aName;
  });
  return it == services.end() ? nullptr : &*it;
}

const DomainConfig* Configuration::FindDomain(const std::string& aName) const
{
  const auto it = std::find_if(
    domains.begin(), domains.end(), [&](const DomainConfig& aItem) { return aItem.name == aName; });
  return it == domains.end() ? nullptr : &*it;
}

bool Configuration::IsDraining(const std::string& aHost) const
{
  return std::any_of(hosts.begin(), hosts.end(), [&](const HostConfig& aItem) {
    return aItem.id == aHost && aItem.state == UnitState::kDraining;
  });
}

Result<Configuration> ParseConfiguration(const std::vector<ConfigFile>& aFiles)
{
  Configuration config;
  for (const ConfigFile& it : aFiles) {
    BOOST_LEAF_CHECK(ReadFile(it, config));
  }
  BOOST_LEAF_CHECK(CheckWhole(config));
  return config;
}

std::string EncodeConfiguration(const Configuration& aConfig)
{
  using nlohmann::json;
  json domains = json::array();
  for (const DomainConfig& it : aConfig.domains) {
    domains.push_back({ { "name", it.name }, { "state", NameOf(kDomainStateNames, it.state) } });
  }
  json hosts = json::array();
  for (const HostConfig& it : aConfig.hosts) {
    hosts.push_back({ { "id", it.id }, { "state", NameOf(kUnitStateNames, it.state) } });
  }
  json services = json::array();
  for (const ServiceConfig& service : aConfig.services) {
    json servers = json::array();
    for (const ServerConfig& it : service.servers) {
      json server = { { "id", it.id },
                      { "domain", it.domain },
                      { "url", it.url },
                      { "state", NameOf(kUnitStateNames, it.state) },
                      { "fencing", NameOf(kFencingNames, it.fencing) } };
      if (it.cell) {
        server["cell"] = *it.cell;
      }
      servers.push_back(std::move(server));
    }
    services.push_back({ { "name", service.name },
                         { "shards", service.shards },
                         { "slots", service.slots },
                         { "connections", service.connections },
                         { "deadline_ms", Millis(service.deadline) },
                         { "repeatable", service.repeatable },
                         { "servers", std::move(servers) } });
  }
  const json doc = {
    { "failure_domains", std::move(domains) },
    { "hosts", std::move(hosts) },
    { "services", std::move(services) },
    { "placement", { { "churn_percent_per_minute", aConfig.placement.churnPercentPerMinute } } }
  };
  return JsonText(doc);
}

Result<Configuration> SucceedConfiguration(const Configuration& aCurrent, Configuration aNext)
{
  for (ServiceConfig& service : aNext.services) {
    const ServiceConfig* current = aCurrent.FindService(service.name);
    if (current != nullptr && current->shards != service.shards) {
      return Fail(ConfigErrorKind::kImmutable, "services." + service.name, "shards");
    }
    for (ServerConfig& it : service.servers) {
      const ServerConfig* server = current == nullptr ? nullptr : FindServer(*current, it.id);
      if (server == nullptr) {
        continue;
      }
      const std::string where = "services." + service.name + ".servers." + it.id;
      if (server->domain != it.domain) {
        return Fail(ConfigErrorKind::kImmutable, where, "domain");
      }
      if (it.cell && it.cell != server->cell) {
        return Fail(ConfigErrorKind::kImmutable, where, "cell");
      }
      it.cell = server->cell;
    }
    AssignCells(service);
  }
  return aNext;
}

} // namespace hawthornlug
