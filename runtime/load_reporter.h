/// @file
/// Reports to the other daemons how many requests this one has in flight at each server.
#pragma once

#include "routing/server_selector.h"
#include "runtime/mesh.h"

#include <map>

namespace hawthornlug {

/// Sends the counts when they have changed: all of them to the daemon's own failure domain, where
/// traffic is cheap, and those at servers that several domains use to the other domains; to both
/// less often the more daemons there are.
class LoadReporter
{
public:
  LoadReporter(const ServerSelector& aSelector, Mesh& aMesh);

  /// To be called every few milliseconds.
  void Tick(Instant aNow);

private:
  using Counts = std::map<std::uint32_t, unsigned>;

  /// The latest report to one audience.
  struct LastReport
  {
    Mesh::Audience audience;
    Counts counts;
    Instant sentAt;
  };

  /// Sends a report if the counts have changed, or need a refresh, and the interval has passed.
  void Report(LastReport& aLast, Counts aCounts, Duration aInterval, Instant aNow);
  /// Shortest interval between two reports to the audience.
  Duration IntervalFor(Mesh::Audience aAudience) const;

  const ServerSelector& mSelector;
  Mesh& mMesh;
  LastReport mOwnDomain{ Mesh::Audience::kOwnDomain, {}, {} };
  LastReport mOtherDomains{ Mesh::Audience::kOtherDomains, {}, {} };
};

} // namespace hawthornlug
