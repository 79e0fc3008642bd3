/// @file
/// What operators declare: failure domains, services with their servers, placement rules.
#pragma once

#include "core/errors.h"
#include "core/ids.h"
#include "core/instant.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Whether a failure domain gets work.
enum class DomainState
{
  kIn,
  kOut,  ///< Taken out by operators: no new work.
  kLost, ///< Declared lost by operators: its daemons and servers are gone for good.
};
inline constexpr EnumNames<3> kDomainStateNames = { "in", "out", "lost" };

/// Whether a server or a host gets work.
enum class UnitState
{
  kIn,
  kDraining,
};
inline constexpr EnumNames<2> kUnitStateNames = { "in", "draining" };

/// Whether servers check tokens, grants and deadlines.
enum class Fencing
{
  kChecked,
  kUnchecked,
};
inline constexpr EnumNames<2> kFencingNames = { "checked", "unchecked" };

struct DomainConfig
{
  std::string name;
  DomainState state = DomainState::kIn;
};

struct ServerConfig
{
  std::string id;
  std::string domain;
  std::string url;
  UnitState state = UnitState::kIn;
  Fencing fencing = Fencing::kChecked;
  /// Number of the server's cell among those of its service and domain; set once, by `apply`.
  std::optional<std::size_t> cell;
};

struct ServiceConfig
{
  std::string name;
  /// Number of shards; fixed when the service is created.
  std::uint32_t shards = 1024;
  /// Orders that a server runs at once.
  std::uint32_t slots = 1;
  /// Connections that a server bears.
  std::uint32_t connections = 50;
  /// Longest time that a request may take.
  Duration deadline = seconds(2);
  /// Methods that may be run more than once.
  std::set<std::string> repeatable = { "GET", "HEAD" };
  std::vector<ServerConfig> servers;
};

/// An entry host that leaves.
struct HostConfig
{
  std::string id;
  UnitState state = UnitState::kIn;
};

struct PlacementConfig
{
  /// Share of a service's shards that may be moved in a minute for balance, in percent.
  double churnPercentPerMinute = 1.0;
};

/// A whole configuration.
struct Configuration
{
  std::vector<DomainConfig> domains;
  std::vector<ServiceConfig> services;
  std::vector<HostConfig> hosts;
  PlacementConfig placement;

  const ServiceConfig* FindService(const std::string& aName) const;
  const DomainConfig* FindDomain(const std::string& aName) const;
  bool IsDraining(const std::string& aHost) const;
};

/// One file of a configuration.
struct ConfigFile
{
  std::string name;
  std::string text;
};

/// Reads and checks files as one configuration; fails with ConfigError.
Result<Configuration> ParseConfiguration(const std::vector<ConfigFile>& aFiles);

/// Returns a text that ParseConfiguration() reads as the same configuration.
std::string EncodeConfiguration(const Configuration& aConfig);

/// Keeps what is fixed once a service exists: its shards, and the domain and cell of each server.
/// Gives new servers a cell. Fails with ConfigError when @p aNext changes what is fixed.
Result<Configuration> SucceedConfiguration(const Configuration& aCurrent, Configuration aNext);

} // namespace hawthornlug
