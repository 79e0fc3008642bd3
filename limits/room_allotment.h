/// @file
/// Division of the room of contended servers between the daemons whose requests wait for it.
#pragma once

#include "core/instant.h"
#include "routing/server_room.h"
#include "routing/waiting_counts.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace hawthornlug {

/// What one priority level of this daemon gets of a target's room.
struct RoomShare
{
  /// The room suffices for all requests of the level and of those above it.
  bool unlimited = true;
  /// Share of the level's requests for which there is room now, from 0 to 1.
  double served = 1.0;
  /// Requests of this daemon and level that may be sent in a second, on average.
  double perSecond = 0.0;
  /// Requests that may be sent now; the fraction is carried over.
  double credit = 0.0;
};

/// Decides how many requests this daemon may send to a contended target: a server that owns keys,
/// or a service without keys.
///
/// Daemons report the demand for a target by priority level: the requests that wait for it, or that
/// arrived for it within the last moments and were rejected for lack of room. The room goes to the
/// highest level first, except for a tenth of it, and within a level each daemon gets the share
/// that it has of the demand. Each request that arrives adds the share of its level's requests that
/// are served to the daemon's credit, and each one that is sent takes 1 off, so that fractions are
/// carried over however few requests a daemon has.
class RoomAllotment
{
public:
  /// Period in which arrivals are counted as demand, on average.
  static constexpr Duration kDemandWindow = milliseconds(375);

  /// @p aDaemon: id of this daemon, by which daemons begin with different fractions.
  explicit RoomAllotment(std::string aDaemon);

  /// Sets the demand of other daemons as @p aSender reports it; replaces its earlier report.
  void SetOthers(const std::string& aSender, WaitingCounts aCounts, Instant aNow);
  void RemoveOthers(const std::string& aSender) { mOthers.Remove(aSender); }
  /// Sets the share of the known daemons that are heard, this one included. The others may be cut
  /// off and use their part of the room.
  void SetHeardShare(double aShare) { mHeardShare = aShare; }
  /// Forgets reports and credits that have expired; to be called every few milliseconds.
  void Tick(Instant aNow);

  /// Whether a report of other daemons is current.
  bool HasReports() const { return !mOthers.IsEmpty(); }
  /// Assumes a demand of other daemons for a target until their reports can contain it.
  void AssumeOthers(std::uint32_t aTarget, const WaitingLevels& aLevels, Instant aNow);
  /// The demand of the other daemons for a target.
  WaitingLevels OthersFor(std::uint32_t aTarget) const;
  /// The share of a level, from this daemon's own demand @p aOwn and that of the others. Unlimited
  /// while no report of others is current.
  RoomShare ShareOf(std::uint32_t aTarget,
                    std::size_t aLevel,
                    const WaitingLevels& aOwn,
                    const ServerRoom& aRoom,
                    Instant aNow);
  /// Adds an arrival's part to the credit of its level.
  void OnArrival(std::uint32_t aTarget, std::size_t aLevel, const RoomShare& aShare, Instant aNow);
  /// Takes a request that is sent off the credit of its level.
  void OnSent(std::uint32_t aTarget, std::size_t aLevel, Instant aNow);

private:
  struct Credits
  {
    std::array<double, kWaitingLevels> levels{};
    Instant usedAt;
  };

  struct AssumedDemand
  {
    WaitingLevels levels{};
    Instant until;
  };

  /// The credits for a target; a new one begins with the daemon's own fractions.
  Credits& CreditsOf(std::uint32_t aTarget, Instant aNow);
  /// Requests that may be sent to the target in a second by the daemons that are heard.
  double RoomPerSecond(const ServerRoom& aRoom) const;

  std::string mDaemon;
  WaitingSummary mOthers;
  /// The sum of mOthers.
  WaitingCounts mTotal;
  std::map<std::uint32_t, AssumedDemand> mAssumed;
  std::map<std::uint32_t, Credits> mCredits;
  double mHeardShare = 1.0;
};

/// How a target's room in a period, @p aRoom requests, is divided between levels with the demand
/// @p aDemand.
std::array<double, kWaitingLevels> DivideRoom(double aRoom, const WaitingLevels& aDemand);

} // namespace hawthornlug
