/// @file
/// Tells the other daemons how many requests this one has at each server.
#pragma once

#include "routing/server_board.h"
#include "runtime/mesh.h"

#include <map>

namespace hawthornlug {

/// Sends counts when they have changed: all of them to the own failure domain, where they cost
/// little, and those at shared servers to the other domains, less often the more daemons there are.
class LoadTeller
{
public:
  LoadTeller(const ServerBoard& aBoard, Mesh& aMesh);

  /// To be called every few milliseconds.
  void Tick(Instant aNow);

private:
  using Counts = std::map<std::uint32_t, unsigned>;

  /// What one audience has been told.
  struct Told
  {
    Mesh::Audience audience;
    Counts counts;
    Instant at;
  };

  void Tell(Told& aTold, Counts aCounts, Duration aInterval, Instant aNow);
  /// How often daemons of other domains are told.
  Duration ForeignInterval() const;

  const ServerBoard& mBoard;
  Mesh& mMesh;
  Told mOwnDomain{ Mesh::Audience::kOwnDomain, {}, {} };
  Told mOtherDomains{ Mesh::Audience::kOtherDomains, {}, {} };
};

} // namespace hawthornlug
