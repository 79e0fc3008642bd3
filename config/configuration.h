/// @file
/// The configuration that operators write: failure domains, services with their servers, hosts and
/// placement limits.
#pragma once

#include "core/errors.h"
#include "core/ids.h"
#include "core/instant.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornlug {

/// Whether a failure domain is in use.
enum class DomainState
{
  kIn,
  kOut,  ///< Taken out of use by operators: it is assigned no new work.
  kLost, ///< Declared lost by operators: its daemons and servers have stopped and won't return.
};
inline constexpr EnumNames<3> kDomainStateNames = { "in", "out", "lost" };

/// Whether a server or a host is in use or being drained.
enum class UnitState
{
  kIn,
  kDraining,
};
inline constexpr EnumNames<2> kUnitStateNames = { "in", "draining" };

/// Whether a server checks fencing tokens, grants and deadlines.
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
  /// Number of the server's cell among the cells of its service and domain. The `apply` command
  /// sets it when the server is added; it never changes afterwards.
  std::optional<std::size_t> cell;
};

struct ServiceConfig
{
  std::string name;
  /// Number of shards; fixed when the service is created.
  std::uint32_t shards = 1024;
  /// Maximum number of orders (callers' requests) that a server runs at a time.
  std::uint32_t slots = 1;
  /// Number of connections that a server can handle; a daemon keeps at most as many idle ones to
  /// it.
  std::uint32_t connections = 50;
  /// Maximum time that a request may take.
  Duration deadline = seconds(2);
  /// HTTP methods whose requests may be executed more than once (idempotent methods).
  std::set<std::string> repeatable = { "GET", "HEAD" };
  std::vector<ServerConfig> servers;
};

/// The state of an entry host (a host that runs a daemon); only hosts to be drained need an entry.
struct HostConfig
{
  std::string id;
  UnitState state = UnitState::kIn;
};

struct PlacementConfig
{
  /// Maximum share of a service's shards that may be moved per minute to balance load, in percent.
  double churnPercentPerMinute = 1.0;
};

/// A complete configuration, merged from all of its files.
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

/// The name and text of one configuration file.
struct ConfigFile
{
  std::string name;
  std::string text;
};

/// Parses and validates the files as one configuration; fails with ConfigError.
Result<Configuration> ParseConfiguration(const std::vector<ConfigFile>& aFiles);

/// Serialises a configuration; ParseConfiguration() returns the same configuration from the text.
std::string EncodeConfiguration(const Configuration& aConfig);

/// Returns @p aNext made ready to replace @p aCurrent: known servers keep their cells, new servers
/// are assigned to one. Fails with ConfigError if @p aNext changes a setting that is fixed once a
/// service exists: its number of shards, and the domain and cell of each server.
Result<Configuration> SucceedConfiguration(const Configuration& aCurrent, Configuration aNext);

} // namespace hawthornlug
