/// @file
/// The platform objects that carry the configuration and the first layout of each service.
#pragma once

#include "config/configuration.h"

#include <map>

namespace hawthornlug {

/// Name of the object that holds the configuration in force.
inline constexpr const char* kConfigObject = "config/current";

/// A configuration as it is kept at the platform.
struct StoredConfig
{
  Configuration config;
  /// Hash of the content, in hexadecimal digits.
  std::string hash;
  /// Identifies the `apply` that wrote it, so that a lost answer can be settled by reading back.
  std::string applyId;
};

std::string EncodeStoredConfig(const Configuration& aConfig, const std::string& aApplyId);
/// Fails with ConfigError or PlatformError::kMalformed.
Result<StoredConfig> DecodeStoredConfig(const std::string& aText);

/// Name of the object that says which cells a service's shards started in.
std::string LayoutName(const std::string& aService);

/// The shards that each cell of a service starts with, by cell name; ranges [first, last).
using ServiceLayout = std::map<std::string, std::pair<ShardId, ShardId>>;

/// Spreads a service's shards over its cells in proportion to their servers.
ServiceLayout MakeLayout(const ServiceConfig& aService);
std::string EncodeLayout(const ServiceLayout& aLayout);
Result<ServiceLayout> DecodeLayout(const std::string& aText);

/// The servers of one cell.
struct CellConfig
{
  std::string name;
  std::string service;
  std::string domain;
  std::vector<ServerConfig> servers;
};

/// All cells that a configuration names, sorted by name.
std::vector<CellConfig> CellsOf(const Configuration& aConfig);

} // namespace hawthornlug
