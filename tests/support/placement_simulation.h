/// @file
/// A model of a keyed service whose leader plans with PlanFleet(): requests, reports of work, plans
/// and moves that take time. No network and no granter.
#pragma once

#include "placement/fleet_planner.h"
#include "placement/key_profile.h"

#include <limits>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace hawthornlug::test {

/// What a model is made of.
struct PlacementModelTerms
{
  unsigned servers = 226;
  /// Factor by which the traffic of some stretches of neighbouring objects exceeds that of others.
  double skew = 2.5;
  unsigned seed = 1;
  /// Releases that a server is sent at a time; a release waits for the running requests.
  unsigned maxReleases = std::numeric_limits<unsigned>::max();
};

/// Traffic to some objects, beside that to all.
struct HotTraffic
{
  unsigned firstObject = 0;
  unsigned objects = 0;
  /// Share of all requests, 0 to 1.
  double share = 0.0;
};

/// 60,000 objects whose keys are spread evenly; 7.5 requests of 200 ms a second for each server.
class PlacementSimulation
{
public:
  explicit PlacementSimulation(const PlacementModelTerms& aTerms);

  /// Lets the time pass.
  void Run(Duration aTime);
  /// Runs until no server has too much work; returns how long that took, at most @p aLimit.
  Duration RunUntilBalanced(Duration aLimit);
  void SetHot(const HotTraffic& aHot);
  /// Servers that answer no release before @p aUntil.
  void SetSilent(std::set<std::string> aServers, Instant aUntil);

  /// Highest ratio of a server's true work to its share: all work divided by capacity, or the work
  /// of its busiest key if that is more, since a key can't be divided.
  double WorstRatio() const;
  const std::string& OwnerOf(RangeKey aKey) const { return RangeOf(aKey).owner; }
  const PlannedRange& RangeOf(RangeKey aKey) const;
  /// Number of keys that the server has.
  unsigned KeysOf(const std::string& aServer) const;
  static RangeKey KeyOf(unsigned aObject);
  Instant Now() const { return mNow; }
  std::size_t RangeCount() const { return mRanges.size(); }

  /// Number of moves begun since the start, or since it was set to 0.
  unsigned moves = 0;
  /// Moves that join ranges are counted apart.
  unsigned joins = 0;
  /// Moves of keys that had moved less than 5 s before.
  unsigned repeatedMoves = 0;
  /// Highest share of the measured work that was in motion when a plan had begun moves.
  double peakInMotion = 0.0;
  /// Highest share of the true work that was in motion.
  double peakTrueInMotion = 0.0;
  /// Keys that were moved while they had more work than a server can do.
  std::set<RangeKey> movedBusyKeys;
  FleetPlan lastPlan;

private:
  struct Move
  {
    /// When the release was sent; 0 while it waits for earlier ones to the same server.
    Instant begunAt;
    /// When the release is answered, and when the new owner has the keys.
    Instant releasedAt;
    Instant doneAt;
    Instant movedAt;
  };

  void Step();
  void AddRequests();
  unsigned ChooseObject();
  void SendReports();
  /// Sends releases, at most so many to each server at a time.
  void SendReleases();
  /// Time until the owner answers a release: it waits for the running requests for the keys.
  Duration ReleaseTime(const PlannedRange& aRange);
  void FinishMoves();
  /// Joins neighbouring ranges with the same owner, as the granter does.
  void JoinRanges();
  void Plan();
  void Begin(const RangeMove& aMove, FleetMoveReason aReason);
  double TrueWorkIn(const KeyRange& aKeys) const;
  void UpdateTrueWork();
  double TrueInMotion() const;

  PlacementModelTerms mTerms;
  std::mt19937_64 mRandom;
  Instant mNow{ seconds(100) };
  Instant mPlannedAt;
  std::vector<PlannedServer> mServers;
  /// By first key.
  std::map<RangeKey, PlannedRange> mRanges;
  std::map<RangeKey, Move> mMoves;
  /// Cumulative weights of the objects.
  std::vector<double> mWeightSums;
  HotTraffic mHot;
  /// Sums of the true work of the keys below n.
  std::vector<double> mTrueWork;
  KeyProfile mProfile;
  /// Work that each daemon has not reported yet.
  std::vector<std::map<RangeKey, Duration>> mUnreported;
  unsigned mStep = 0;
  std::set<std::string> mSilent;
  Instant mSilentUntil;
};

} // namespace hawthornlug::test
