#include "tests/support/range_world.h"

#include <algorithm>

namespace hawthornlug::test {

namespace {

constexpr Duration kTick = milliseconds(20);
constexpr Duration kWatchEvery = milliseconds(1500);
constexpr Duration kLongestGap = milliseconds(900);
constexpr RangeKey kBucketWidth = 4096;
constexpr double kServerClockDrift = 0.019;

unsigned BucketOf(RangeKey aKey)
{
  return aKey / kBucketWidth;
}

KeyRange KeysOf(unsigned aBucket)
{
  return { aBucket * kBucketWidth, (aBucket + 1) * kBucketWidth - 1 };
}

GrantTiming Timing()
{
  return {};
}

} // namespace

RangeWorld::RangeWorld(std::uint64_t aSeed, RangeTroubles aTroubles)
  : mRandom(aSeed)
  , mTroubles(aTroubles)
  , mEnd(mNow + aTroubles.length)
{
  for (unsigned n = 0; n < kServers; ++n) {
    Server server;
    server.id = "s" + std::to_string(n);
    mServers.push_back(std::move(server));
  }
  for (unsigned n = 0; n < kDaemons; ++n) {
    Daemon daemon;
    daemon.ref = { "d" + std::to_string(n), 1 };
    daemon.granter = std::make_unique<RangeGranter>(daemon.ref, Timing());
    daemon.tickedAt = mNow;
    mDaemons.push_back(std::move(daemon));
  }
}

void RangeWorld::At(Duration aDelay, std::function<void()> aRun)
{
  mEvents.push({ mNow + aDelay, mNextEvent++, std::move(aRun) });
}

bool RangeWorld::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < aShare;
}

Duration RangeWorld::Between(Duration aLeast, Duration aMost)
{
  return Duration(
    std::uniform_int_distribution<Duration::rep>(aLeast.count(), aMost.count())(mRandom));
}

void RangeWorld::Say(const std::string& aLine)
{
  mLog.push_back(std::to_string(Millis(mNow.time_since_epoch()) - 1000000) + " " + aLine);
}

void RangeWorld::Fail(const std::string& aRule)
{
  Say("BROKEN " + aRule);
  if (mBroken.empty()) {
    mBroken = aRule;
  }
}

unsigned RangeWorld::ServerNumber(const std::string& aId) const
{
  return static_cast<unsigned>(std::stoul(aId.substr(1)));
}

void RangeWorld::Feed(Daemon& aDaemon)
{
  std::map<std::string, GrantableServer> servers;
  for (const Server& it : mServers) {
    // A server that is down is still registered: silence proves nothing.
    servers[it.id] = { it.incarnation, it.id, true, true };
  }
  aDaemon.granter->SetServers(std::move(servers));
}

std::string RangeWorld::Run()
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    At(Between(milliseconds(1), kTick), [this, n] { Tick(n); });
  }
  for (unsigned n = 0; n < mTroubles.events; ++n) {
    At(Between(seconds(3), mTroubles.length / 2), [this] { Trouble(); });
  }
  while (!mEvents.empty() && mNow < mEnd && mBroken.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.at;
    event.run();
    Check();
  }
  return mBroken;
}

unsigned RangeWorld::HeldAtTheEnd() const
{
  unsigned n = 0;
  for (unsigned bucket = 0; bucket < kBuckets; ++bucket) {
    for (const Server& it : mServers) {
      n += it.up && it.holds[bucket].until > mNow ? 1 : 0;
    }
  }
  return n;
}

void RangeWorld::Tick(unsigned aDaemon)
{
  At(kTick, [this, aDaemon] { Tick(aDaemon); });
  Daemon& daemon = mDaemons[aDaemon];
  if (mNow < daemon.frozenUntil) {
    return;
  }
  RangeGranter& granter = *daemon.granter;
  const Duration gap = mNow - daemon.tickedAt;
  daemon.tickedAt = mNow;
  if (gap > kLongestGap && !granter.IsIdle()) {
    granter.Resign();
  }
  Feed(daemon);
  const bool storeReached = mNow >= daemon.storeCutUntil;
  if (granter.IsIdle()) {
    if (storeReached && !daemon.reading && Chance(mTroubles.takeovers)) {
      TakeOver(aDaemon);
    }
    return;
  }
  if (granter.IsHolder()) {
    if (!daemon.earlier.id.empty()) {
      const Daemon& earlier =
        mDaemons[static_cast<unsigned>(std::stoul(daemon.earlier.id.substr(1)))];
      const bool stopped = earlier.ref.incarnation > daemon.earlier.incarnation ||
                           (earlier.ref == daemon.earlier && earlier.granter->IsIdle());
      if (stopped) {
        granter.OnEarlierHolderStopped(mNow);
        daemon.earlier = DaemonRef();
      }
    }
    if (mNow - daemon.watchedAt > kWatchEvery && storeReached) {
      daemon.watchedAt = mNow;
      const std::optional<StoredObject> record = mRecord;
      Answer(aDaemon, daemon.ref.incarnation, [this, record](Daemon& aWho) {
        if (record) {
          aWho.granter->OnRecordRead(*record, mNow);
        }
      });
    }
    if (Chance(mTroubles.moves)) {
      const auto bucket = std::uniform_int_distribution<unsigned>(0, kBuckets - 1)(mRandom);
      const auto to = std::uniform_int_distribution<unsigned>(0, kServers - 1)(mRandom);
      granter.Move({ KeysOf(bucket), mServers[to].id }, mNow);
    }
  }
  for (const GranterAction& it : granter.Tick(mNow)) {
    Act(aDaemon, it);
  }
  for (const GranterNote& it : granter.TakeNotes()) {
    if (it.what == GranterNote::What::kTaken) {
      ++mTakeovers;
      Say(daemon.ref.id + " takes over with token " + std::to_string(it.token));
    } else if (it.what == GranterNote::What::kMoved) {
      ++mMoves;
      std::string line = daemon.ref.id;
      line += " moved " + std::to_string(BucketOf(it.keys.from)) + " from " + it.from;
      line += " to " + it.to + ", " + it.reason + ", token " + std::to_string(it.token);
      Say(line);
    }
  }
}

void RangeWorld::Answer(unsigned aDaemon,
                        Incarnation aIncarnation,
                        std::function<void(Daemon&)> aRun)
{
  At(Between(milliseconds(1), milliseconds(40)),
     [this, aDaemon, aIncarnation, run = std::move(aRun)] {
       Daemon& daemon = mDaemons[aDaemon];
       if (daemon.ref.incarnation != aIncarnation) {
         return;
       }
       if (mNow < daemon.frozenUntil) {
         // It is read when the daemon runs again, in no stated order with its timers.
         At(daemon.frozenUntil - mNow + Between(milliseconds(0), milliseconds(30)),
            [this, aDaemon, aIncarnation, run] {
              if (mDaemons[aDaemon].ref.incarnation == aIncarnation) {
                run(mDaemons[aDaemon]);
              }
            });
         return;
       }
       run(daemon);
     });
}

void RangeWorld::AnswerAfter(Duration aDelay,
                             unsigned aDaemon,
                             Incarnation aIncarnation,
                             std::function<void(Daemon&)> aRun)
{
  At(aDelay,
     [this, aDaemon, aIncarnation, run = std::move(aRun)] { Answer(aDaemon, aIncarnation, run); });
}

void RangeWorld::Act(unsigned aDaemon, const GranterAction& aAction)
{
  if (const auto* grant = std::get_if<GrantKeys>(&aAction)) {
    Grant(aDaemon, *grant);
  } else if (const auto* release = std::get_if<ReleaseKeys>(&aAction)) {
    Release(aDaemon, *release);
  } else {
    Write(aDaemon, std::get<WriteRecord>(aAction));
  }
}

void RangeWorld::Grant(unsigned aDaemon, const GrantKeys& aAction)
{
  const unsigned n = ServerNumber(aAction.server);
  const Incarnation run = mDaemons[aDaemon].ref.incarnation;
  const std::uint64_t order = aAction.order;
  const auto answer = [this, aDaemon, run, order](OrderResult aResult, Duration aDelay) {
    AnswerAfter(aDelay, aDaemon, run, [this, order, aResult](Daemon& aWho) {
      aWho.granter->OnGranted(order, aResult, mNow);
    });
  };
  const Duration timeout = Timing().orderTimeout;
  if (mNow < mDaemons[aDaemon].serverCutUntil[n] || !mServers[n].up) {
    answer(OrderResult::kNoAnswer, timeout);
    return;
  }
  const Incarnation incarnation = mServers[n].incarnation;
  const bool late = Chance(mTroubles.lateOrders);
  const bool lost = Chance(mTroubles.lostOrders);
  const bool answerLost = Chance(mTroubles.lostOrders);
  if (lost) {
    answer(OrderResult::kNoAnswer, timeout);
    return;
  }
  const GrantOrder grant = aAction.grant;
  At(Between(milliseconds(1), milliseconds(30)), [=, this] {
    const Instant arrived = mNow;
    if (late) {
      At(Between(seconds(1), seconds(8)), [=, this] { Apply(n, incarnation, grant, arrived); });
      answer(OrderResult::kNoAnswer, timeout);
      return;
    }
    if (!mServers[n].up || mServers[n].incarnation != incarnation) {
      answer(OrderResult::kNoAnswer, timeout);
      return;
    }
    bool refused = false;
    for (unsigned b = BucketOf(grant.range.from); b <= BucketOf(grant.range.to); ++b) {
      refused = refused || mServers[n].highest[b] > grant.token;
    }
    Apply(n, incarnation, grant, arrived);
    if (answerLost) {
      answer(OrderResult::kNoAnswer, timeout);
    } else {
      answer(refused ? OrderResult::kSuperseded : OrderResult::kDone, milliseconds(0));
    }
  });
}

void RangeWorld::Apply(unsigned aServer,
                       Incarnation aIncarnation,
                       const GrantOrder& aOrder,
                       Instant aArrived)
{
  Server& server = mServers[aServer];
  if (!server.up || server.incarnation != aIncarnation) {
    return;
  }
  const unsigned first = BucketOf(aOrder.range.from);
  const unsigned last = BucketOf(aOrder.range.to);
  for (unsigned b = first; b <= last; ++b) {
    if (server.highest[b] > aOrder.token) {
      return;
    }
  }
  const auto drift = static_cast<Duration::rep>(static_cast<double>(aOrder.hold.count()) *
                                                (1.0 + kServerClockDrift));
  const Instant until = aArrived + Duration(drift);
  if (until <= mNow) {
    return;
  }
  const std::string holder = server.id + "/" + std::to_string(server.incarnation);
  for (unsigned b = first; b <= last; ++b) {
    const auto& [token, taker] = mTaken[b];
    if (aOrder.token < token || (aOrder.token == token && taker != holder && !taker.empty())) {
      std::string rule = "bucket " + std::to_string(b);
      rule += " taken by " + holder + " with token " + std::to_string(aOrder.token);
      rule += " after " + taker + " had it with " + std::to_string(token);
      Fail(rule);
    }
    mTaken[b] = { aOrder.token, holder };
    server.highest[b] = aOrder.token;
    server.holds[b] = { aOrder.token, std::max(server.holds[b].until, until) };
  }
}

void RangeWorld::Release(unsigned aDaemon, const ReleaseKeys& aAction)
{
  const unsigned n = ServerNumber(aAction.server);
  const Incarnation run = mDaemons[aDaemon].ref.incarnation;
  const std::uint64_t order = aAction.order;
  const auto answer = [this, aDaemon, run, order](OrderResult aResult, Duration aDelay) {
    AnswerAfter(aDelay, aDaemon, run, [this, order, aResult](Daemon& aWho) {
      aWho.granter->OnReleased(order, { aResult, "warm" }, mNow);
    });
  };
  const Duration timeout = Timing().releaseTimeout;
  const bool cut = mNow < mDaemons[aDaemon].serverCutUntil[n] || !mServers[n].up;
  if (cut || Chance(mTroubles.lostOrders)) {
    answer(OrderResult::kNoAnswer, timeout);
    return;
  }
  const bool answerLost = Chance(mTroubles.lostReleaseAnswers);
  const ReleaseOrder release = aAction.release;
  At(Between(milliseconds(1), milliseconds(30)), [=, this] {
    for (unsigned b = BucketOf(release.range.from); b <= BucketOf(release.range.to); ++b) {
      // Whether a server remembers a release's token isn't stated: here it does not.
      mServers[n].holds[b].until = mNow;
    }
    const Duration work = Between(milliseconds(0), milliseconds(900));
    answer(answerLost ? OrderResult::kNoAnswer : OrderResult::kDone, answerLost ? timeout : work);
  });
}

bool RangeWorld::DoWrite(const WriteRecord& aAction)
{
  const Version current = mRecord ? mRecord->revision : 0;
  if (current != aAction.expected) {
    return false;
  }
  // Other objects share the revisions.
  mRevision += 1 + static_cast<Version>(Chance(0.3) ? 3 : 0);
  mRecord = StoredObject{ "service", mRevision, false, aAction.value };
  return true;
}

void RangeWorld::Write(unsigned aDaemon, const WriteRecord& aAction)
{
  const Incarnation run = mDaemons[aDaemon].ref.incarnation;
  const auto answer = [this, aDaemon, run](StoreWrite aWrite, Duration aDelay) {
    AnswerAfter(aDelay, aDaemon, run, [this, write = std::move(aWrite)](Daemon& aWho) {
      aWho.granter->OnWritten(write, mNow);
    });
  };
  if (mNow < mDaemons[aDaemon].storeCutUntil) {
    answer({ StoreResult::kUnknown, std::nullopt }, milliseconds(1500));
    return;
  }
  if (Chance(mTroubles.lostWrites)) {
    const Duration delay = Chance(0.5) ? milliseconds(4) : Between(seconds(1), seconds(6));
    At(delay, [this, aAction] { DoWrite(aAction); });
    answer({ StoreResult::kUnknown, std::nullopt }, milliseconds(1500));
    return;
  }
  At(Between(milliseconds(2), milliseconds(20)), [this, aAction, answer] {
    const bool done = DoWrite(aAction);
    answer({ done ? StoreResult::kDone : StoreResult::kConflict, mRecord }, milliseconds(0));
  });
}

void RangeWorld::Check()
{
  for (unsigned b = 0; b < kBuckets; ++b) {
    std::string holder;
    for (const Server& it : mServers) {
      if (!it.up || it.holds[b].until <= mNow) {
        continue;
      }
      if (!holder.empty()) {
        Fail("bucket " + std::to_string(b) + " held by " + holder + " and " + it.id);
        return;
      }
      holder = it.id;
    }
  }
}

void RangeWorld::TakeOver(unsigned aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  // The record is read a moment before the takeover: it may have changed by then.
  daemon.reading = true;
  const std::optional<StoredObject> record = mRecord;
  Answer(aDaemon, daemon.ref.incarnation, [this, record](Daemon& aWho) {
    aWho.reading = false;
    RangeRecord stored;
    aWho.earlier = record && DecodeRangeRecord(record->value, stored) ? stored.holder : DaemonRef();
    aWho.granter->TakeOver(record, { "s0", "s1", "s2", "s3" }, mNow);
  });
}

void RangeWorld::FreezeDaemon(unsigned aDaemon, Duration aFor)
{
  mDaemons[aDaemon].frozenUntil = mNow + aFor;
  Say("freeze " + mDaemons[aDaemon].ref.id);
}

void RangeWorld::CutFromStore(unsigned aDaemon, Duration aFor)
{
  mDaemons[aDaemon].storeCutUntil = mNow + aFor;
  Say("cut " + mDaemons[aDaemon].ref.id + " from the store");
}

void RangeWorld::CutFromServer(unsigned aDaemon, unsigned aServer, Duration aFor)
{
  mDaemons[aDaemon].serverCutUntil[aServer] = mNow + aFor;
  Say("cut " + mDaemons[aDaemon].ref.id + " from " + mServers[aServer].id);
}

void RangeWorld::RestartDaemon(unsigned aDaemon)
{
  Daemon& daemon = mDaemons[aDaemon];
  ++daemon.ref.incarnation;
  daemon.granter = std::make_unique<RangeGranter>(daemon.ref, Timing());
  daemon.tickedAt = mNow;
  daemon.reading = false;
  daemon.earlier = DaemonRef();
  Say("restart " + daemon.ref.id);
}

void RangeWorld::RestartAllDaemons()
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    RestartDaemon(n);
  }
}

void RangeWorld::RestartServer(unsigned aServer)
{
  Server& server = mServers[aServer];
  ++server.incarnation;
  std::fill(server.highest.begin(), server.highest.end(), 0);
  std::fill(server.holds.begin(), server.holds.end(), Hold());
  Say("restart " + server.id);
}

void RangeWorld::StopServer(unsigned aServer)
{
  mServers[aServer].up = false;
  Say("stop " + mServers[aServer].id);
}

void RangeWorld::MoveBucket(unsigned aBucket, unsigned aServer)
{
  Say("move " + std::to_string(aBucket) + " to " + mServers[aServer].id);
  mDaemons[Holder()].granter->Move({ KeysOf(aBucket), mServers[aServer].id }, mNow);
}

unsigned RangeWorld::Holder() const
{
  const auto rank = [](const Daemon& aDaemon) {
    return aDaemon.granter->IsHolder() ? aDaemon.granter->Term() : 0;
  };
  const auto it = std::max_element(
    mDaemons.begin(), mDaemons.end(), [&](const Daemon& aLeft, const Daemon& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  return static_cast<unsigned>(it - mDaemons.begin());
}

void RangeWorld::Trouble()
{
  const auto d = std::uniform_int_distribution<unsigned>(0, kDaemons - 1)(mRandom);
  const auto s = std::uniform_int_distribution<unsigned>(0, kServers - 1)(mRandom);
  switch (std::uniform_int_distribution<unsigned>(0, 6)(mRandom)) {
    case 0:
      FreezeDaemon(d, Between(milliseconds(300), seconds(8)));
      break;
    case 1:
      CutFromStore(d, Between(seconds(1), seconds(20)));
      break;
    case 2:
      CutFromServer(d, s, Between(seconds(1), seconds(20)));
      break;
    case 3:
      RestartDaemon(d);
      break;
    case 4:
      RestartServer(s);
      break;
    case 5:
      Split(s);
      break;
    default:
      RestartAllDaemons();
      break;
  }
}

void RangeWorld::Split(unsigned aServer)
{
  for (unsigned n = 0; n < kDaemons; ++n) {
    const Duration length = Between(seconds(25), seconds(45));
    if (mDaemons[n].granter->IsHolder()) {
      CutFromStore(n, length);
    } else {
      CutFromServer(n, aServer, length);
    }
  }
}

} // namespace hawthornlug::test
