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
/// Maximum number of servers that AssignCells() puts in a cell.
constexpr std::size_t kMaxServersPerCell = 4;
constexpr std::size_t kMaxNameLength = 63;

using Fields = std::map<std::string, YAML::Node>;

auto Fail(ConfigErrorKind aKind, const std::string& aWhere, const std::string& aWhat)
{
  return leaf::new_error(ConfigError{ aKind, aWhere, aWhat });
}

/// A position in a configuration file, for error messages: the file and the path of a field.
class ConfigPosition
{
public:
  ConfigPosition(std::string aFile, std::string aPath)
    : mFile(std::move(aFile))
    , mPath(std::move(aPath))
  {
  }

  /// Returns the position of the field @p aName inside this one.
  ConfigPosition Child(const std::string& aName) const
  {
    return { mFile, mPath.empty() ? aName : mPath + "." + aName };
  }

  /// Returns the file, the line of @p aNode if it has one, and the path of the field.
  std::string Describe(const YAML::Node& aNode) const
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

/// Returns the fields of a mapping; fails if a field is unknown or occurs twice.
Result<Fields> ReadFields(const YAML::Node& aNode,
                          const ConfigPosition& aPosition,
                          const std::vector<std::string>& aKnownFields)
{
  if (!aNode.IsMap()) {
    return Fail(ConfigErrorKind::kBadValue, aPosition.Describe(aNode), "a mapping is expected");
  }
  Fields fields;
  for (const auto& it : aNode) {
    if (!it.first.IsScalar()) {
      return Fail(
        ConfigErrorKind::kSyntax, aPosition.Describe(it.first), "a field name is expected");
    }
    const auto name = it.first.as<std::string>();
    if (std::find(aKnownFields.begin(), aKnownFields.end(), name) == aKnownFields.end()) {
      return Fail(ConfigErrorKind::kUnknownField, aPosition.Describe(it.first), name);
    }
    if (!fields.emplace(name, it.second).second) {
      return Fail(ConfigErrorKind::kDuplicateKey, aPosition.Describe(it.first), name);
    }
  }
  return fields;
}

Result<std::string> ReadText(const Fields& aFields,
                             const std::string& aName,
                             const ConfigPosition& aPosition)
{
  const auto it = aFields.find(aName);
  if (it == aFields.end()) {
    return Fail(ConfigErrorKind::kMissingField, aPosition.Describe(YAML::Node()), aName);
  }
  if (!it->second.IsScalar() || it->second.Scalar().empty()) {
    return Fail(ConfigErrorKind::kBadValue,
                aPosition.Describe(it->second),
                aName + " must be a non-empty string");
  }
  return it->second.Scalar();
}

Result<std::string> ReadName(const Fields& aFields,
                             const std::string& aName,
                             const ConfigPosition& aPosition)
{
  BOOST_LEAF_AUTO(text, ReadText(aFields, aName, aPosition));
  const bool wellFormed =
    text.size() <= kMaxNameLength && std::isalnum(static_cast<unsigned char>(text[0])) != 0 &&
    std::all_of(text.begin(), text.end(), [](unsigned char aChar) {
      return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' || aChar == '.';
    });
  if (!wellFormed) {
    return Fail(ConfigErrorKind::kBadValue,
                aPosition.Describe(aFields.at(aName)),
                "'" + text + "' is not a name of letters, digits, '-', '_' and '.'");
  }
  return text;
}

template<typename T>
Result<T> ReadNumber(const Fields& aFields,
                     const std::string& aName,
                     const ConfigPosition& aPosition,
                     T aDefault,
                     T aMin,
                     T aMax)
{
  const auto it = aFields.find(aName);
  if (it == aFields.end()) {
    return aDefault;
  }
  T value{};
  const bool decoded = it->second.IsScalar() && YAML::convert<T>::decode(it->second, value);
  if (!decoded || value < aMin || value > aMax) {
    return Fail(ConfigErrorKind::kBadValue,
                aPosition.Describe(it->second),
                aName + " must be a number from " + std::to_string(aMin) + " to " +
                  std::to_string(aMax));
  }
  return value;
}

template<typename E, std::size_t N>
Result<E> ReadEnum(const Fields& aFields,
                   const std::string& aName,
                   const ConfigPosition& aPosition,
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
    std::string allowed;
    for (const std::string_view name : aNames) {
      allowed += allowed.empty() ? std::string(name) : ", " + std::string(name);
    }
    return Fail(ConfigErrorKind::kBadValue,
                aPosition.Describe(it->second),
                aName + " must be one of " + allowed);
  }
  return *value;
}

Result<std::vector<YAML::Node>> ReadList(const Fields& aFields,
                                         const std::string& aName,
                                         const ConfigPosition& aPosition)
{
  std::vector<YAML::Node> items;
  const auto it = aFields.find(aName);
  if (it == aFields.end() || it->second.IsNull()) {
    return items;
  }
  if (!it->second.IsSequence()) {
    return Fail(
      ConfigErrorKind::kBadValue, aPosition.Describe(it->second), aName + " must be a list");
  }
  for (const auto& item : it->second) {
    items.push_back(item);
  }
  return items;
}

Result<DomainConfig> ReadDomain(const YAML::Node& aNode, const ConfigPosition& aPosition)
{
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPosition, { "name", "state" }));
  DomainConfig domain;
  BOOST_LEAF_ASSIGN(domain.name, ReadName(fields, "name", aPosition));
  BOOST_LEAF_ASSIGN(domain.state,
                    ReadEnum(fields, "state", aPosition, kDomainStateNames, DomainState::kIn));
  return domain;
}

Result<HostConfig> ReadHost(const YAML::Node& aNode, const ConfigPosition& aPosition)
{
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPosition, { "id", "state" }));
  HostConfig host;
  BOOST_LEAF_ASSIGN(host.id, ReadName(fields, "id", aPosition));
  BOOST_LEAF_ASSIGN(host.state,
                    ReadEnum(fields, "state", aPosition, kUnitStateNames, UnitState::kIn));
  return host;
}

Result<ServerConfig> ReadServer(const YAML::Node& aNode,
                                const ConfigPosition& aPosition,
                                Fencing aFencing)
{
  BOOST_LEAF_AUTO(
    fields, ReadFields(aNode, aPosition, { "id", "domain", "url", "state", "fencing", "cell" }));
  ServerConfig server;
  BOOST_LEAF_ASSIGN(server.id, ReadName(fields, "id", aPosition));
  BOOST_LEAF_ASSIGN(server.domain, ReadName(fields, "domain", aPosition));
  BOOST_LEAF_ASSIGN(server.url, ReadText(fields, "url", aPosition));
  BOOST_LEAF_ASSIGN(server.state,
                    ReadEnum(fields, "state", aPosition, kUnitStateNames, UnitState::kIn));
  BOOST_LEAF_ASSIGN(server.fencing,
                    ReadEnum(fields, "fencing", aPosition, kFencingNames, aFencing));
  if (server.url.rfind("http://", 0) != 0) {
    return Fail(ConfigErrorKind::kBadValue,
                aPosition.Describe(fields.at("url")),
                "url must begin with http://");
  }
  if (fields.count("cell") != 0) {
    BOOST_LEAF_AUTO(cell, ReadNumber<std::uint32_t>(fields, "cell", aPosition, 0, 0, kMaxShards));
    server.cell = cell;
  }
  return server;
}

/// Returns the methods that may be executed more than once; GET and HEAD unless they are
/// configured.
Result<std::set<std::string>> ReadRepeatableMethods(const Fields& aFields,
                                                    const ConfigPosition& aPosition)
{
  std::set<std::string> methods = { "GET", "HEAD" };
  if (aFields.count("repeatable") == 0) {
    return methods;
  }
  methods.clear();
  BOOST_LEAF_AUTO(items, ReadList(aFields, "repeatable", aPosition));
  for (const YAML::Node& it : items) {
    const std::string name = it.IsScalar() ? it.Scalar() : std::string();
    const bool wellFormed = !name.empty() && std::all_of(name.begin(), name.end(), [](char aChar) {
      return aChar >= 'A' && aChar <= 'Z';
    });
    if (!wellFormed) {
      return Fail(ConfigErrorKind::kBadValue,
                  aPosition.Describe(it),
                  "repeatable must list HTTP methods in capital letters");
    }
    methods.insert(name);
  }
  return methods;
}

Result<ServiceConfig> ReadService(const YAML::Node& aNode, const ConfigPosition& aPosition)
{
  BOOST_LEAF_AUTO(fields,
                  ReadFields(aNode,
                             aPosition,
                             { "name",
                               "shards",
                               "slots",
                               "connections",
                               "deadline_ms",
                               "repeatable",
                               "fencing",
                               "servers" }));
  ServiceConfig service;
  BOOST_LEAF_ASSIGN(service.name, ReadName(fields, "name", aPosition));
  const ConfigPosition position = aPosition.Child(service.name);
  BOOST_LEAF_ASSIGN(
    service.shards,
    ReadNumber<std::uint32_t>(fields, "shards", position, service.shards, 1, kMaxShards));
  BOOST_LEAF_ASSIGN(service.slots,
                    ReadNumber<std::uint32_t>(fields, "slots", position, 1, 1, kMaxSlots));
  BOOST_LEAF_ASSIGN(service.connections,
                    ReadNumber<std::uint32_t>(
                      fields, "connections", position, service.connections, 1, kMaxConnections));
  BOOST_LEAF_AUTO(deadlineMs,
                  ReadNumber<std::int64_t>(
                    fields, "deadline_ms", position, Millis(service.deadline), 1, kMaxDeadlineMs));
  service.deadline = milliseconds(deadlineMs);
  BOOST_LEAF_ASSIGN(service.repeatable, ReadRepeatableMethods(fields, position));
  BOOST_LEAF_AUTO(fencing, ReadEnum(fields, "fencing", position, kFencingNames, Fencing::kChecked));
  BOOST_LEAF_AUTO(servers, ReadList(fields, "servers", position));
  for (const YAML::Node& it : servers) {
    BOOST_LEAF_AUTO(server, ReadServer(it, position.Child("servers"), fencing));
    service.servers.push_back(std::move(server));
  }
  return service;
}

Result<PlacementConfig> ReadPlacement(const YAML::Node& aNode, const ConfigPosition& aPosition)
{
  constexpr double kAllShards = 100.0;
  BOOST_LEAF_AUTO(fields, ReadFields(aNode, aPosition, { "churn_percent_per_minute" }));
  PlacementConfig placement;
  BOOST_LEAF_ASSIGN(placement.churnPercentPerMinute,
                    ReadNumber<double>(fields,
                                       "churn_percent_per_minute",
                                       aPosition,
                                       placement.churnPercentPerMinute,
                                       0.0,
                                       kAllShards));
  return placement;
}

Result<void> ReadFile(const ConfigFile& aFile, Configuration& aConfig)
{
  const ConfigPosition position(aFile.name, {});
  YAML::Node root;
  try {
    root = YAML::Load(aFile.text);
  } catch (const YAML::Exception& e) {
    return Fail(
      ConfigErrorKind::kSyntax, aFile.name + ":" + std::to_string(e.mark.line + 1), e.msg);
  }
  BOOST_LEAF_AUTO(
    fields, ReadFields(root, position, { "failure_domains", "services", "hosts", "placement" }));
  BOOST_LEAF_AUTO(domains, ReadList(fields, "failure_domains", position));
  for (const YAML::Node& it : domains) {
    BOOST_LEAF_AUTO(domain, ReadDomain(it, position.Child("failure_domains")));
    aConfig.domains.push_back(std::move(domain));
  }
  BOOST_LEAF_AUTO(services, ReadList(fields, "services", position));
  for (const YAML::Node& it : services) {
    BOOST_LEAF_AUTO(service, ReadService(it, position.Child("services")));
    aConfig.services.push_back(std::move(service));
  }
  BOOST_LEAF_AUTO(hosts, ReadList(fields, "hosts", position));
  for (const YAML::Node& it : hosts) {
    BOOST_LEAF_AUTO(host, ReadHost(it, position.Child("hosts")));
    aConfig.hosts.push_back(std::move(host));
  }
  if (fields.count("placement") != 0) {
    BOOST_LEAF_ASSIGN(aConfig.placement,
                      ReadPlacement(fields.at("placement"), position.Child("placement")));
  }
  return {};
}

/// Checks rules that concern several parts of a configuration: names and URLs are unique, each
/// service has a server, and each server's failure domain is declared.
Result<void> CheckConsistency(const Configuration& aConfig)
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

/// Assigns each server that has no cell to the first cell of its domain that isn't full.
void AssignCells(ServiceConfig& aService)
{
  std::map<std::string, std::map<std::size_t, std::size_t>> cellSizes;
  std::map<std::string, std::size_t> domainTotals;
  for (const ServerConfig& it : aService.servers) {
    if (it.cell) {
      ++cellSizes[it.domain][*it.cell];
    }
    ++domainTotals[it.domain];
  }
  for (ServerConfig& it : aService.servers) {
    if (it.cell) {
      continue;
    }
    // Uses the smallest number of cells that can hold all servers of the domain, and spreads the
    // servers evenly over them.
    const std::size_t cells =
      (domainTotals[it.domain] + kMaxServersPerCell - 1) / kMaxServersPerCell;
    const std::size_t cellLimit = (domainTotals[it.domain] + cells - 1) / cells;
    std::size_t n = 0;
    while (cellSizes[it.domain][n] >= cellLimit) {
      ++n;
    }
    it.cell = n;
    ++cellSizes[it.domain][n];
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
  BOOST_LEAF_CHECK(CheckConsistency(config));
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
