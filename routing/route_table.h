/// @file
/// Lookup of a request's route by host name and path.
#pragma once

#include "routing/route_config.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornlug {

/// The routes of one configuration by host name and longest path prefix, with the state of the
/// distribution over their weighted shares. That state is kept when a new configuration leaves the
/// shares of a route unchanged.
class RouteTable
{
public:
  /// Applies @p aConfig unless its version or a later one is in force; returns whether its version
  /// is in force now.
  bool Apply(RouteConfig aConfig);

  bool IsEmpty() const { return !mConfig; }
  /// Version of the configuration in force; 0 without one.
  std::uint64_t Version() const { return mConfig ? mConfig->version : 0; }
  /// The configuration in force; must not be called while the table is empty.
  const RouteConfig& Config() const { return *mConfig; }

  /// The route with the longest prefix of @p aPath; null if there is none. The port in @p aHost and
  /// the case of its letters are ignored.
  const RouteRule* Find(std::string_view aHost, std::string_view aPath) const;
  /// Chooses the service of the next request on @p aRoute in proportion to the weights.
  const std::string& ChooseService(const RouteRule& aRoute);
  /// Null if there is no such service.
  const ServiceRule* FindService(const std::string& aService) const;
  /// Whether callers need a key of an organisation.
  bool Authenticates() const { return mConfig && mConfig->authenticates; }
  /// The organisation whose key has this digest; null if no organisation in force has it.
  const OrganisationRule* FindOrganisation(const KeyDigest& aKey) const;

private:
  /// Smooth weighted round robin: for each request, each share's credit rises by its weight, the
  /// share with the highest credit is taken, and the sum of the weights is deducted from its
  /// credit.
  struct ShareState
  {
    std::vector<RouteShare> shares;
    std::vector<double> credit;
  };

  std::shared_ptr<const RouteConfig> mConfig;
  /// Routes by normalised host name, then by prefix.
  std::map<std::string, std::map<std::string, const RouteRule*>, std::less<>> mByHost;
  std::unordered_map<KeyDigest, const OrganisationRule*> mByKey;
  /// By route name.
  std::map<std::string, ShareState> mShares;
};

} // namespace hawthornlug
