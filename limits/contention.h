/// @file
/// The requests of one daemon for contended servers: which of them are sent, and how long the
/// others are expected to wait.
#pragma once

#include "limits/dominant_key.h"
#include "limits/room_allotment.h"
#include "limits/waiting_policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hawthornlug {

/// A request as far as contention depends on it.
struct ContendingRequest
{
  /// The server or service that may run it; see WaitingCounts.
  std::uint32_t target = 0;
  /// Differs between keys of one service and between services.
  std::optional<std::uint64_t> key;
  int priority = 0;
};

/// What has been decided since the start, for metrics.
struct ContentionTotals
{
  /// Requests that were rejected for lack of room: before they waited...
  std::uint64_t rejectedAtArrival = 0;
  /// ...after less than half of their target latency, and after more.
  std::uint64_t rejectedEarly = 0;
  std::uint64_t rejectedLate = 0;
  /// Requests that were sent with a share of a contended target's room.
  std::uint64_t allotted = 0;

  bool operator==(const ContentionTotals& aOther) const = default;
};

/// Counts this daemon's demand for each target, and applies the allotment to it.
///
/// Requests are considered in passes over the whole queue, in the order in which they are to be
/// sent: BeginPass(), for each request MaySend() and then OnSent(), OnWaiting() or OnRejected(),
/// and EndPass().
class Contention
{
public:
  explicit Contention(std::string aDaemon);

  RoomAllotment& Allotment() { return mAllotment; }
  /// Discards what has expired; to be called every few milliseconds.
  void Tick(Instant aNow);

  /// Counts a new request.
  void OnArrival(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow);
  /// Levels by which a request is less urgent than its priority says: more than 0 if its key has
  /// most of the requests for its server, so that those for other keys are not served after it.
  int DemotionOf(const ContendingRequest& aRequest) const;

  void BeginPass();
  /// Whether the request may be sent now.
  bool MaySend(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow);
  /// Whether the request gets a share of a room that does not suffice for all.
  bool IsLimited(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow);
  void OnSent(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow);
  void OnWaiting(const ContendingRequest& aRequest, Instant aNow);
  void OnRejected(const ContendingRequest& aRequest,
                  Duration aWaited,
                  Duration aTargetLatency,
                  Instant aNow);
  void EndPass();
  /// Adds the expected wait of a request that is not sent now to its conditions.
  void Describe(WaitConditions& aQueue,
                const ContendingRequest& aRequest,
                const ServerRoom& aRoom,
                Instant aNow);

  /// This daemon's demand for contended targets, for the other daemons.
  WaitingCounts Demand(Instant aNow) const;
  const ContentionTotals& Totals() const { return mTotals; }

private:
  struct Target
  {
    DominantKey dominant;
    /// Arrivals in the current period and in the one before.
    WaitingLevels arrivals{};
    WaitingLevels earlierArrivals{};
    Instant periodStart;
    Instant usedAt;
  };

  /// Where the requests for a dominant key went last, and what others wanted of that target.
  struct KeyPlace
  {
    std::uint32_t target = 0;
    WaitingLevels others{};
    Instant seenAt;
  };

  /// Carries the demand for a dominant key over to its new owner, of which no report can know yet.
  void FollowKey(const ContendingRequest& aRequest, Instant aNow);
  /// Remembers the owner of a dominant key.
  void RecordPlace(const ContendingRequest& aRequest, Instant aNow);
  /// The level of a request with regard to its key.
  std::size_t LevelOf(const ContendingRequest& aRequest) const;
  static void AdvancePeriod(Target& aTarget, Instant aNow);
  /// This daemon's demand for a target.
  WaitingLevels DemandOf(std::uint32_t aTarget, Instant aNow) const;
  /// The requests that the pass in progress has left waiting for a target so far.
  WaitingLevels WaitingInPass(std::uint32_t aTarget) const;
  RoomShare ShareOf(const ContendingRequest& aRequest, const ServerRoom& aRoom, Instant aNow);

  RoomAllotment mAllotment;
  /// All targets of recent requests. They are not visited one by one with each request.
  std::map<std::uint32_t, Target> mTargets;
  /// When a request for a target last waited or was rejected for lack of room.
  std::map<std::uint32_t, Instant> mContendedAt;
  /// Requests that were left waiting by the last pass, and by the one in progress.
  WaitingCounts mWaiting;
  WaitingCounts mWaitingInPass;
  Instant mTargetsExpiredAt;
  /// By dominant key.
  std::map<std::uint64_t, KeyPlace> mPlaces;
  ContentionTotals mTotals;
};

} // namespace hawthornlug
