/// @file
/// The platform objects that hold the configuration and the initial layout of each service: the
/// shards that each of its cells starts with.
#pragma once

#include "config/configuration.h"

#include <map>

namespace hawthornlug {

/// Name of the object that holds the configuration in force.
inline constexpr const char* kConfigObject = "config/current";

/// A configuration as it is stored at the platform.
struct StoredConfig
{
  Configuration config;
  /// Hash of the content, in hexadecimal digits.
  std::string hash;
  /// Identifies the `apply` command that wrote it. If the answer to its write is lost, the command
  /// reads the object back and finds by this id whether the write took effect.
  std::string applyId;
};

std::string EncodeStoredConfig(const Configuration& aConfig, const std::string& aApplyId);
/// Fails with ConfigError or PlatformError::kMalformed.
Result<StoredConfig> DecodeStoredConfig(const std::string& aText);

/// Name of the object that holds a service's initial layout.
std::string LayoutName(const std::string& aService);

/// The shards that each cell of a service starts with, by cell name; ranges [first, last).
using ServiceLayout = std::map<std::string, std::pair<ShardId, ShardId>>;

/// Distributes a service's shards over its cells in proportion to their numbers of servers.
ServiceLayout MakeLayout(const ServiceConfig& aService);
std::string EncodeLayout(const ServiceLayout& aLayout);
/// Fails with PlatformError::kMalformed.
Result<ServiceLayout> DecodeLayout(const std::string& aText);

/// The servers of one cell.
struct CellConfig
{
  std::string name;
  std::string service;
  std::string domain;
  std::vector<ServerConfig> servers;
};

/// Returns all cells of a configuration's services, sorted by name.
std::vector<CellConfig> CellsOf(const Configuration& aConfig);

} // namespace hawthornlug
