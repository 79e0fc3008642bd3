/// @file
/// Metrics by organisation, for the organisations with the highest limits.
#pragma once

#include "core/metrics.h"
#include "routing/route_table.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace hawthornlug {

/// Counts the requests of organisations. Only the organisations with the highest limits have
/// metrics of their own; the others are counted together, as "other", since a configuration may
/// list thousands.
class OrganisationMetrics
{
public:
  OrganisationMetrics(Metrics& aMetrics, const RouteTable& aRoutes)
    : mMetrics(aMetrics)
    , mRoutes(aRoutes)
  {
  }

  /// Counts a request whose key was accepted.
  void CountRequest(const std::string& aOrganisation);
  /// Counts the answer to a request: 401 without an organisation, 429 or the answer of a server
  /// that served it. Other answers have no metric by organisation.
  void CountAnswer(const std::string& aOrganisation, int aStatus, bool aServed);

private:
  void Count(const char* aName, const std::string& aOrganisation);
  /// Chooses the organisations that have metrics of their own, if the configuration has changed.
  void Update();

  Metrics& mMetrics;
  const RouteTable& mRoutes;
  /// Version of the configuration that the choice was made for.
  std::optional<std::uint64_t> mVersion;
  std::set<std::string> mLargest;
};

} // namespace hawthornlug
