#include "routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace hawthornlug {

namespace {

/// Returns the host name in lower case and without the port, for comparison.
std::string NormaliseHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

bool AreSharesEqual(const std::vector<RouteShare>& aOne, const std::vector<RouteShare>& aOther)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    aOther.end(),
                    [](const RouteShare& aLeft, const RouteShare& aRight) {
                      return aLeft.service == aRight.service && aLeft.weight == aRight.weight;
                    });
}

} // namespace

bool RouteTable::Apply(RouteConfig aConfig)
{
  if (mConfig && aConfig.version <= mConfig->version) {
    return aConfig.version == mConfig->version;
  }
  mConfig = std::make_shared<const RouteConfig>(std::move(aConfig));
  mByHost.clear();
  for (const RouteRule& it : mConfig->routes) {
    mByHost[NormaliseHost(it.host)][it.pathPrefix] = &it;
    ShareState& state = mShares[it.name];
    if (!AreSharesEqual(state.shares, it.shares)) {
      state.shares = it.shares;
      state.credit.assign(it.shares.size(), 0.0);
    }
  }
  mByKey.clear();
  for (const auto& [name, organisation] : mConfig->organisations) {
    for (const KeyDigest& it : organisation.keys) {
      mByKey[it] = &organisation;
    }
  }
  std::erase_if(mShares, [this](const auto& aEntry) {
    return std::none_of(mConfig->routes.begin(),
                        mConfig->routes.end(),
                        [&](const RouteRule& aRule) { return aRule.name == aEntry.first; });
  });
  return true;
}

const RouteRule* RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mByHost.find(NormaliseHost(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so the path is tried up to each of its slashes, the last one first.
  for (std::size_t slash = aPath.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : aPath.rfind('/', slash - 1)) {
    const auto it = host->second.find(std::string(aPath.substr(0, slash + 1)));
    if (it != host->second.end()) {
      return it->second;
    }
  }
  return nullptr;
}

const std::string& RouteTable::ChooseService(const RouteRule& aRoute)
{
  const auto found = mShares.find(aRoute.name);
  if (aRoute.shares.size() == 1 || found == mShares.end()) {
    return aRoute.shares.front().service;
  }
  ShareState& state = found->second;
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t n = 0; n < state.shares.size(); ++n) {
    total += state.shares[n].weight;
    state.credit[n] += state.shares[n].weight;
    if (state.credit[n] > state.credit[best]) {
      best = n;
    }
  }
  state.credit[best] -= total;
  return aRoute.shares[best].service;
}

const ServiceRule* RouteTable::FindService(const std::string& aService) const
{
  if (!mConfig) {
    return nullptr;
  }
  const auto it = mConfig->services.find(aService);
  return it == mConfig->services.end() ? nullptr : &it->second;
}

const OrganisationRule* RouteTable::FindOrganisation(const KeyDigest& aKey) const
{
  const auto it = mByKey.find(aKey);
  return it == mByKey.end() ? nullptr : it->second;
}

} // namespace hawthornlug
