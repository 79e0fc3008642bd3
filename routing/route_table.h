/// @file
/// Finds the route of a request.
#pragma once

#include "routing/route_config.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace hawthornlug {

/// The routes of one configuration, by host and longest path prefix, with the state of their
/// weighted shares. The shares' state outlives a change of the configuration that leaves the
/// weights as they are.
class RouteTable
{
public:
  /// Puts @p aConfig in force unless a later one is; returns whether it is in force now.
  bool Apply(RouteConfig aConfig);

  bool IsEmpty() const { return !mConfig; }
  std::uint64_t Version() const { return mConfig ? mConfig->version : 0; }
  const RouteConfig& Config() const { return *mConfig; }

  /// The route of the longest prefix that begins @p aPath; null if there is none.
  const RouteRule* Find(std::string_view aHost, std::string_view aPath) const;
  /// Chooses the service of the next request on @p aRoute in proportion to the weights.
  const std::string& ChooseService(const RouteRule& aRoute);
  /// Null if there is no such service.
  const ServiceRule* FindService(const std::string& aService) const;

private:
  /// Smooth weighted round robin: each share's credit rises by its weight, the highest is taken.
  struct ShareState
  {
    std::vector<RouteShare> shares;
    std::vector<double> credit;
  };

  std::shared_ptr<const RouteConfig> mConfig;
  /// Routes of a host, by prefix.
  std::map<std::string, std::map<std::string, const RouteRule*>, std::less<>> mByHost;
  std::map<std::string, ShareState> mShares;
};

} // namespace hawthornlug
