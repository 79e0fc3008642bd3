/// @file
/// A small world around the range granter: a store, servers that check grants, daemons that are
/// frozen, cut off and restarted, and a checker. Time is simulated; every choice comes from a seed.
#pragma once

#include "ownership/range_granter.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// What may go wrong in a world.
struct RangeTroubles
{
  /// Parts of all orders that get no answer and are applied seconds later.
  double lateOrders = 0.03;
  /// Parts of all orders and answers that are lost.
  double lostOrders = 0.03;
  /// Parts of all releases that are carried out and not answered.
  double lostReleaseAnswers = 0.03;
  /// Parts of all writes that are done without an answer, or done seconds later.
  double lostWrites = 0.05;
  /// How often the holder moves a bucket of its own accord, per tick.
  double moves = 0.02;
  /// How often a daemon that is no holder tries to become it of its own accord, per tick.
  double takeovers = 0.004;
  /// Number of cuts, freezes and restarts, spread over the run.
  unsigned events = 12;
  Duration length = seconds(90);
};

/// Runs one seed. Returns what rule was broken, empty if none was.
class RangeWorld
{
public:
  static constexpr unsigned kBuckets = 16;
  static constexpr unsigned kServers = 4;
  static constexpr unsigned kDaemons = 3;

  RangeWorld(std::uint64_t aSeed, RangeTroubles aTroubles);

  std::string Run();

  /// Calls @p aRun so long from now; for sessions that are written down.
  void At(Duration aDelay, std::function<void()> aRun);
  void SetTroubles(const RangeTroubles& aTroubles) { mTroubles = aTroubles; }
  /// Has a daemon read the record and try to become the holder.
  void TakeOver(unsigned aDaemon);
  void FreezeDaemon(unsigned aDaemon, Duration aFor);
  void CutFromStore(unsigned aDaemon, Duration aFor);
  void CutFromServer(unsigned aDaemon, unsigned aServer, Duration aFor);
  void RestartDaemon(unsigned aDaemon);
  void RestartAllDaemons();
  void RestartServer(unsigned aServer);
  /// Ends a server's run for good; the registry goes on showing it.
  void StopServer(unsigned aServer);
  /// Has the holder move a bucket of keys.
  void MoveBucket(unsigned aBucket, unsigned aServer);
  /// The latest of the daemons that take themselves for the holder; the first if none does.
  unsigned Holder() const;

  /// Lines that tell what happened.
  const std::vector<std::string>& Log() const { return mLog; }
  /// Orders that moved keys, so that a run without any is noticed.
  unsigned Moves() const { return mMoves; }
  unsigned Takeovers() const { return mTakeovers; }
  /// Buckets of keys that a server holds at the end.
  unsigned HeldAtTheEnd() const;

private:
  struct Hold
  {
    FencingToken token = 0;
    Instant until;
  };
  struct Server
  {
    std::string id;
    Incarnation incarnation = 1;
    bool up = true;
    std::vector<FencingToken> highest = std::vector<FencingToken>(kBuckets, 0);
    std::vector<Hold> holds = std::vector<Hold>(kBuckets);
  };
  struct Daemon
  {
    DaemonRef ref;
    std::unique_ptr<RangeGranter> granter;
    Instant tickedAt;
    Instant frozenUntil;
    Instant storeCutUntil;
    std::vector<Instant> serverCutUntil = std::vector<Instant>(kServers);
    Instant watchedAt;
    DaemonRef earlier;
    Instant takenAt;
    bool reading = false;
  };
  struct Event
  {
    Instant at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : number > aOther.number;
    }
  };

  bool Chance(double aShare);
  Duration Between(Duration aLeast, Duration aMost);
  void Say(const std::string& aLine);
  void Fail(const std::string& aRule);

  void Tick(unsigned aDaemon);
  void Act(unsigned aDaemon, const GranterAction& aAction);
  void Grant(unsigned aDaemon, const GrantKeys& aAction);
  void Release(unsigned aDaemon, const ReleaseKeys& aAction);
  void Write(unsigned aDaemon, const WriteRecord& aAction);
  bool DoWrite(const WriteRecord& aAction);
  /// Calls @p aRun in the daemon's run that is @p aIncarnation, once it is not frozen.
  void Answer(unsigned aDaemon, Incarnation aIncarnation, std::function<void(Daemon&)> aRun);
  void AnswerAfter(Duration aDelay,
                   unsigned aDaemon,
                   Incarnation aIncarnation,
                   std::function<void(Daemon&)> aRun);
  void Apply(unsigned aServer,
             Incarnation aIncarnation,
             const GrantOrder& aOrder,
             Instant aArrived);
  void Check();
  /// Something that goes wrong, drawn.
  void Trouble();
  /// The holder loses the store but not a server that all others lose.
  void Split(unsigned aServer);
  void Feed(Daemon& aDaemon);
  unsigned ServerNumber(const std::string& aId) const;

  std::mt19937_64 mRandom;
  RangeTroubles mTroubles;
  Instant mNow{ seconds(1000) };
  Instant mEnd;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEvent = 0;
  std::vector<Server> mServers;
  std::vector<Daemon> mDaemons;
  std::optional<StoredObject> mRecord;
  Version mRevision = 40;
  /// The highest token with which each bucket was ever taken, and by which run of which server.
  std::vector<std::pair<FencingToken, std::string>> mTaken =
    std::vector<std::pair<FencingToken, std::string>>(kBuckets);
  std::string mBroken;
  std::vector<std::string> mLog;
  unsigned mMoves = 0;
  unsigned mTakeovers = 0;
};

} // namespace hawthornlug::test
