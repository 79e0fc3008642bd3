/// @file
/// A simulation of the range granter with a store, servers that check the tokens of grants, daemons
/// that are frozen, isolated and restarted, and a check that each key has at most one owner. Time
/// is simulated; all random choices derive from a seed.
#pragma once

#include "ownership/range_granter.h"
#include "ownership/term_history.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// Faults that a simulation injects, and how often daemons act at random.
struct RangeFaults
{
  /// Fraction of grant commands that get no answer and are applied seconds later.
  double lateGrants = 0.03;
  /// Fraction of commands, and of answers to grant commands, that are lost.
  double lostCommands = 0.03;
  /// Fraction of release commands that are executed but not answered.
  double lostReleaseAnswers = 0.03;
  /// Fraction of writes that are not answered; they are applied at once or seconds later.
  double unansweredWrites = 0.05;
  /// Probability, per tick, that a leader moves a random bucket.
  double moveChance = 0.02;
  /// Probability, per tick, that a daemon that is not leader starts a takeover.
  double takeoverChance = 0.004;
  /// Number of isolations, freezes and restarts at random times.
  unsigned disruptions = 12;
  /// Longest time until a daemon learns from the registry that a server has restarted.
  Duration maxRegistryLag = milliseconds(2500);
  /// Longest time for which a daemon is frozen by a random disruption.
  Duration longestFreeze = seconds(25);
  /// Ranges share their tokens with neighbours of the same owner, and a server is sent one release
  /// at a time.
  bool joinsNeighbours = false;
  /// Number of times, at random, that the store is away and comes back from an older copy.
  unsigned restores = 0;
  /// Era of the store at the start of the run.
  StoreEra firstEra = 0;
  /// Largest age of that copy when the store goes away, and longest time for which it is away.
  Duration longestCopyAge = seconds(10);
  Duration longestStoreOutage = seconds(2);
  /// Longest time until a server writes its entry to the restored store.
  Duration longestReregistration = seconds(3);
  /// Simulated time of the whole run.
  Duration duration = seconds(90);
};

/// Simulates one seed. The keys are divided into equal buckets; moves and checks are by bucket.
class RangeSimulation
{
public:
  static constexpr unsigned kBuckets = 16;
  static constexpr unsigned kServers = 4;
  static constexpr unsigned kDaemons = 3;

  RangeSimulation(std::uint64_t aSeed, RangeFaults aFaults);

  /// Runs the simulation. Returns the first invariant that was violated, or an empty text.
  std::string Run();

  /// Calls @p aCallback after @p aDelay of simulated time; for scenarios with scripted events.
  void Schedule(Duration aDelay, std::function<void()> aCallback);
  void SetFaults(const RangeFaults& aFaults) { mFaults = aFaults; }
  /// Makes a daemon read the record and try to become leader.
  void TakeOver(unsigned aDaemon);
  void FreezeDaemon(unsigned aDaemon, Duration aDuration);
  void IsolateFromStore(unsigned aDaemon, Duration aDuration);
  void IsolateFromServer(unsigned aDaemon, unsigned aServer, Duration aDuration);
  /// Cuts a failure domain off: the daemon and the server in it reach each other, but neither the
  /// store nor any other daemon or server.
  void CutDomain(unsigned aDaemon, unsigned aServer, Duration aDuration);
  void RestartDaemon(unsigned aDaemon);
  void RestartAllDaemons();
  void RestartServer(unsigned aServer);
  /// Stops a server for the rest of the run. The registry still lists it.
  void StopServer(unsigned aServer);
  /// The store is away for @p aOutage, and comes back as it was @p aCopyAge before that.
  void RestoreStore(Duration aCopyAge, Duration aOutage);
  /// Makes the leader move a bucket to a server.
  void MoveBucket(unsigned aBucket, unsigned aServer);
  /// Returns the daemon with the highest term among those that act as leader; the first daemon if
  /// none does.
  unsigned Leader() const;

  /// The transcript: one line per event, with the simulated time in milliseconds.
  const std::vector<std::string>& Log() const { return mLog; }
  /// Number of moves that were completed; a run without any tests nothing.
  unsigned Moves() const { return mMoves; }
  unsigned Takeovers() const { return mTakeovers; }
  /// Number of buckets that are held by a server at the current simulated time.
  unsigned HeldBuckets() const;

private:
  /// A server's right to one bucket.
  struct Lease
  {
    FencingToken token = 0;
    Instant until;
  };
  struct Server
  {
    std::string id;
    Incarnation incarnation = 1;
    /// When it last restarted.
    Instant restartedAt;
    bool up = true;
    /// Highest token accepted, by bucket.
    std::vector<FencingToken> highestTokens = std::vector<FencingToken>(kBuckets, 0);
    std::vector<Lease> leases = std::vector<Lease>(kBuckets);
  };
  struct Daemon
  {
    DaemonRef ref;
    std::unique_ptr<RangeGranter> granter;
    TermHistory terms;
    Instant frozenUntil;
    Instant storeUnreachableUntil;
    std::vector<Instant> serverUnreachableUntil = std::vector<Instant>(kServers);
    Instant recordReadAt;
    /// The daemon neither sends nor receives heartbeats before this time.
    Instant silentUntil;
    /// Incarnation of each server as this daemon has read it from the registry.
    std::vector<Incarnation> registeredIncarnations = std::vector<Incarnation>(kServers, 1);
    Instant startedAt;
    /// The latest era of the store that it knows, and when it learns of a later one by itself.
    std::optional<StoreEra> storeEra;
    Instant storeEraKnownAt;
    Instant learnsEraAt;
    /// The record is being read for a takeover.
    bool readingRecord = false;
  };
  struct ScheduledCall
  {
    Instant at;
    /// Keeps calls for the same time in the order in which they were scheduled.
    std::uint64_t sequence = 0;
    std::function<void()> callback;
    bool operator<(const ScheduledCall& aOther) const
    {
      return at != aOther.at ? at > aOther.at : sequence > aOther.sequence;
    }
  };

  bool RandomChance(double aProbability);
  Duration RandomDuration(Duration aMin, Duration aMax);
  void AppendLine(const std::string& aLine);
  void RecordViolation(const std::string& aViolation);

  /// Sets the granter's mode as the faults say.
  void SetMode(RangeGranter& aGranter) const;
  void Tick(unsigned aDaemon);
  /// Lets the daemon learn of the store's era, from the store or from other daemons.
  void LearnEra(Daemon& aDaemon);
  /// Whether a daemon hears another one.
  bool Hears(const Daemon& aDaemon, const Daemon& aOther) const;
  /// Whether the daemon hears that no other one leads since before the store was restored.
  bool HaveEarlierErasEnded(const Daemon& aDaemon) const;
  /// Executes what the daemon's granter is to do now.
  void Act(unsigned aDaemon);
  /// Tells the granter which earlier leaders have stopped, as far as heartbeats show that.
  void CheckEarlierLeaders(Daemon& aDaemon);
  void Execute(unsigned aDaemon, const GranterAction& aAction);
  void SendGrant(unsigned aDaemon, const GrantKeys& aAction);
  void SendRelease(unsigned aDaemon, const ReleaseKeys& aAction);
  void SendWrite(unsigned aDaemon, const WriteRecord& aAction);
  /// Applies the write to the stored record. Returns false if the record has another version.
  bool ApplyWrite(const WriteRecord& aAction);
  /// Calls @p aCallback with the daemon after a short random delay, once it is not frozen; not at
  /// all if its incarnation is no longer @p aIncarnation.
  void Deliver(unsigned aDaemon, Incarnation aIncarnation, std::function<void(Daemon&)> aCallback);
  /// As Deliver(), after a further delay.
  void DeliverAfter(Duration aDelay,
                    unsigned aDaemon,
                    Incarnation aIncarnation,
                    std::function<void(Daemon&)> aCallback);
  /// Applies a grant that reached the server at @p aArrivedAt, from when its duration counts.
  void ApplyGrant(unsigned aServer,
                  Incarnation aIncarnation,
                  const GrantCommand& aGrant,
                  Instant aArrivedAt);
  /// Records a violation if two servers hold the same bucket.
  void CheckExclusiveOwnership();
  /// The registry is that of the copy, until the servers write their entries again.
  void RestoreRegistry(Instant aCopiedAt);
  /// Injects a random disruption.
  void InjectDisruption();
  /// Isolates the leader from the store and all other daemons from @p aServer, so that only the
  /// leader can reach that server.
  void PartitionLeader(unsigned aServer);
  /// Passes the registered servers to the daemon's granter.
  void UpdateServers(Daemon& aDaemon);
  unsigned ServerIndex(const std::string& aId) const;

  std::mt19937_64 mGenerator;
  RangeFaults mFaults;
  Instant mNow{ seconds(1000) };
  Instant mEnd;
  std::priority_queue<ScheduledCall> mScheduledCalls;
  std::uint64_t mNextSequence = 0;
  std::vector<Server> mServers;
  std::vector<Daemon> mDaemons;
  std::optional<StoredObject> mRecord;
  std::uint64_t mRevision = 40;
  StoreEra mEra;
  /// The record after each of its changes, and the store's revision, by time.
  struct RecordState
  {
    Instant at;
    std::optional<StoredObject> record;
    std::uint64_t revision = 0;
  };
  std::vector<RecordState> mRecordHistory;
  /// By bucket: the highest token of any applied grant, and the server incarnation that got it.
  std::vector<std::pair<FencingToken, std::string>> mHighestGrants =
    std::vector<std::pair<FencingToken, std::string>>(kBuckets);
  std::string mViolation;
  std::vector<std::string> mLog;
  unsigned mMoves = 0;
  unsigned mTakeovers = 0;
};

} // namespace hawthornlug::test
