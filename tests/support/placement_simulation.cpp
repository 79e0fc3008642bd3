#include "tests/support/placement_simulation.h"

#include "placement/hot_keys.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug::test {

namespace {

constexpr unsigned kObjects = 60000;
constexpr unsigned kDaemons = 90;
constexpr double kRequestsPerServer = 7.5;
constexpr double kWork = 0.2;
constexpr Duration kStep = milliseconds(10);
/// Each daemon reports once in this many steps.
constexpr unsigned kReportSteps = 30;
constexpr Duration kPlanInterval = milliseconds(250);
constexpr Duration kMoveTime = milliseconds(400);
/// Requests that run or wait at a busy server.
constexpr double kRequestsAtServer = 20.0;
constexpr Duration kIdleRelease = milliseconds(20);
constexpr Duration kBusyRelease = milliseconds(200);
constexpr Duration kUsualRelease = milliseconds(1000);
constexpr Duration kSettleTime = seconds(5);
/// Number of neighbouring objects that are equally busy.
constexpr unsigned kStretchObjects = 700;

} // namespace

PlacementSimulation::PlacementSimulation(const PlacementModelTerms& aTerms)
  : mTerms(aTerms)
  , mRandom(aTerms.seed)
  , mUnreported(kDaemons)
{
  std::uniform_real_distribution<double> slowness(0.7, 1.4);
  const unsigned n = aTerms.servers;
  for (unsigned i = 0; i < n; ++i) {
    mServers.push_back({ "s" + std::to_string(i), 4 / slowness(mRandom), true, 4 });
    PlannedRange range;
    range.keys = { static_cast<RangeKey>(65536ULL * i / n),
                   static_cast<RangeKey>(65536ULL * (i + 1) / n - 1) };
    range.owner = mServers.back().id;
    mRanges[range.keys.from] = range;
  }
  std::uniform_real_distribution<double> factor(1.0, aTerms.skew);
  double sum = 0.0;
  double weight = 1.0;
  for (unsigned i = 0; i < kObjects; ++i) {
    weight = i % kStretchObjects == 0 ? factor(mRandom) : weight;
    sum += weight;
    mWeightSums.push_back(sum);
  }
  UpdateTrueWork();
}

RangeKey PlacementSimulation::KeyOf(unsigned aObject)
{
  return static_cast<RangeKey>(65536ULL * aObject / kObjects);
}

void PlacementSimulation::SetHot(const HotTraffic& aHot)
{
  mHot = aHot;
  UpdateTrueWork();
}

void PlacementSimulation::SetSilent(std::set<std::string> aServers, Instant aUntil)
{
  mSilent = std::move(aServers);
  mSilentUntil = aUntil;
}

void PlacementSimulation::UpdateTrueWork()
{
  const double total = kRequestsPerServer * kWork * mTerms.servers;
  std::vector<double> work(kLastKey + 1, 0.0);
  double before = 0.0;
  for (unsigned i = 0; i < kObjects; ++i) {
    work[KeyOf(i)] += total * (1 - mHot.share) * (mWeightSums[i] - before) / mWeightSums.back();
    before = mWeightSums[i];
  }
  for (unsigned i = mHot.firstObject; i < mHot.firstObject + mHot.objects; ++i) {
    work[KeyOf(i)] += total * mHot.share / mHot.objects;
  }
  mTrueWork.assign(1, 0.0);
  for (const double it : work) {
    mTrueWork.push_back(mTrueWork.back() + it);
  }
}

double PlacementSimulation::TrueWorkIn(const KeyRange& aKeys) const
{
  return mTrueWork[aKeys.to + 1] - mTrueWork[aKeys.from];
}

unsigned PlacementSimulation::ChooseObject()
{
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  if (unit(mRandom) < mHot.share) {
    return mHot.firstObject + static_cast<unsigned>(unit(mRandom) * mHot.objects);
  }
  const double at = unit(mRandom) * mWeightSums.back();
  const auto it = std::upper_bound(mWeightSums.begin(), mWeightSums.end(), at);
  return std::min<unsigned>(kObjects - 1, static_cast<unsigned>(it - mWeightSums.begin()));
}

void PlacementSimulation::AddRequests()
{
  std::poisson_distribution<unsigned> count(kRequestsPerServer * mTerms.servers * InSeconds(kStep));
  std::uniform_int_distribution<std::size_t> daemon(0, kDaemons - 1);
  for (unsigned n = count(mRandom); n > 0; --n) {
    mUnreported[daemon(mRandom)][KeyOf(ChooseObject())] += FromSeconds(kWork);
  }
}

void PlacementSimulation::SendReports()
{
  for (std::size_t n = mStep % kReportSteps; n < kDaemons; n += kReportSteps) {
    for (const auto& [key, work] : mUnreported[n]) {
      mProfile.Add(key, work, mNow);
    }
    mUnreported[n].clear();
  }
}

Duration PlacementSimulation::ReleaseTime(const PlannedRange& aRange)
{
  if (mTerms.maxReleases == std::numeric_limits<unsigned>::max()) {
    // No other release waits for this one.
    return Duration::zero();
  }
  double ownersWork = 1e-9;
  for (const auto& [from, range] : mRanges) {
    ownersWork += range.owner == aRange.owner ? TrueWorkIn(range.keys) : 0.0;
  }
  // Each of the requests at the server is for one of these keys in proportion to their work.
  const double others = 1.0 - std::min(1.0, TrueWorkIn(aRange.keys) / ownersWork);
  std::bernoulli_distribution isIdle(std::pow(others, kRequestsAtServer));
  return isIdle(mRandom) ? kIdleRelease : kBusyRelease;
}

void PlacementSimulation::SendReleases()
{
  std::map<std::string, unsigned> sent;
  for (const auto& [from, range] : mRanges) {
    const Move& move = mMoves[from];
    const bool isPending = move.begunAt != Instant() && mNow < move.releasedAt;
    sent[range.owner] += range.moving && isPending ? 1 : 0;
  }
  for (auto& [from, range] : mRanges) {
    Move& move = mMoves[from];
    if (!range.moving || move.begunAt != Instant() || sent[range.owner] >= mTerms.maxReleases) {
      continue;
    }
    const bool silent = mSilent.contains(range.owner) && mNow < mSilentUntil;
    move.begunAt = mNow;
    move.releasedAt = (silent ? mSilentUntil : mNow) + ReleaseTime(range);
    move.doneAt = (silent ? mSilentUntil : mNow) + kMoveTime;
    ++sent[range.owner];
  }
}

void PlacementSimulation::FinishMoves()
{
  for (auto& [from, range] : mRanges) {
    Move& move = mMoves[from];
    if (range.moving && move.begunAt != Instant() && mNow >= move.doneAt) {
      range.moving = false;
      range.owner = range.target;
      range.target.clear();
      move.movedAt = mNow;
    }
  }
}

void PlacementSimulation::JoinRanges()
{
  for (auto it = mRanges.begin(); it != mRanges.end();) {
    const auto next = std::next(it);
    if (next == mRanges.end()) {
      return;
    }
    if (it->second.moving || next->second.moving || it->second.owner != next->second.owner) {
      it = next;
      continue;
    }
    it->second.keys.to = next->second.keys.to;
    mMoves[it->first].movedAt = std::max(mMoves[it->first].movedAt, mMoves[next->first].movedAt);
    mMoves.erase(next->first);
    mRanges.erase(next);
  }
}

void PlacementSimulation::Begin(const RangeMove& aMove, FleetMoveReason aReason)
{
  const auto it = std::prev(mRanges.upper_bound(aMove.keys.from));
  const PlannedRange whole = it->second;
  const Move history = mMoves[it->first];
  if (whole.moving || !whole.keys.Contains(aMove.keys.to) || whole.owner == aMove.to) {
    return;
  }
  const auto put = [&](const KeyRange& aKeys) -> PlannedRange& {
    PlannedRange& range = mRanges[aKeys.from];
    range = whole;
    range.keys = aKeys;
    mMoves[aKeys.from] = history;
    return range;
  };
  if (aMove.keys.from > whole.keys.from) {
    put({ whole.keys.from, aMove.keys.from - 1 });
  }
  if (aMove.keys.to < whole.keys.to) {
    put({ aMove.keys.to + 1, whole.keys.to });
  }
  PlannedRange& moved = put(aMove.keys);
  moved.moving = true;
  moved.target = aMove.to;
  Move& move = mMoves[aMove.keys.from];
  move.begunAt = Instant();
  ++(aReason == FleetMoveReason::kJoin ? joins : moves);
  repeatedMoves += mNow - history.movedAt < kSettleTime ? 1 : 0;
  for (RangeKey key = aMove.keys.from; key <= aMove.keys.to; ++key) {
    if (TrueWorkIn({ key, key }) > 4.0) {
      movedBusyKeys.insert(key);
    }
  }
}

double PlacementSimulation::TrueInMotion() const
{
  double work = 0.0;
  for (const auto& [from, range] : mRanges) {
    const bool isStopped = range.moving && mMoves.at(from).begunAt != Instant();
    work += isStopped ? TrueWorkIn(range.keys) : 0.0;
  }
  return work / mTrueWork.back();
}

void PlacementSimulation::Plan()
{
  mPlannedAt = mNow;
  JoinRanges();
  mProfile.Decay(mNow);
  std::vector<PlannedRange> ranges;
  for (auto& [from, range] : mRanges) {
    const Move& move = mMoves[from];
    range.justMoved = mNow - move.movedAt < kSettleTime;
    range.overdue =
      range.moving && move.begunAt != Instant() && mNow - move.begunAt > kUsualRelease;
    ranges.push_back(range);
  }
  lastPlan = PlanFleet(ranges, mServers, mProfile.Table(), {});
  for (const FleetMove& it : lastPlan.moves) {
    Begin(it.move, it.reason);
  }
  if (!lastPlan.moves.empty()) {
    peakInMotion = std::max(peakInMotion, lastPlan.workInMotion / lastPlan.totalWork);
  }
  peakTrueInMotion = std::max(peakTrueInMotion, TrueInMotion());
}

void PlacementSimulation::Step()
{
  mNow += kStep;
  ++mStep;
  AddRequests();
  SendReports();
  SendReleases();
  FinishMoves();
  if (mNow - mPlannedAt >= kPlanInterval) {
    Plan();
  }
}

void PlacementSimulation::Run(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (mNow < end) {
    Step();
  }
}

Duration PlacementSimulation::RunUntilBalanced(Duration aLimit)
{
  const Instant start = mNow;
  while (WorstRatio() > 1.5 && mNow - start < aLimit) {
    Run(milliseconds(50));
  }
  return mNow - start;
}

double PlacementSimulation::WorstRatio() const
{
  std::map<std::string, ServerWork> loads;
  for (const PlannedServer& it : mServers) {
    loads[it.id].capacity = it.capacity;
  }
  for (const auto& [from, range] : mRanges) {
    ServerWork& load = loads[range.owner];
    load.work += TrueWorkIn(range.keys);
    for (RangeKey key = range.keys.from; key <= range.keys.to; ++key) {
      load.busiestWork = std::max(load.busiestWork, TrueWorkIn({ key, key }));
    }
  }
  double work = 0.0;
  double capacity = 0.0;
  for (const auto& [id, load] : loads) {
    work += load.work;
    capacity += load.capacity;
  }
  double worst = 0.0;
  for (const auto& [id, load] : loads) {
    const double share = std::max(load.capacity * work / capacity, load.busiestWork);
    worst = std::max(worst, load.work / share);
  }
  return worst;
}

const PlannedRange& PlacementSimulation::RangeOf(RangeKey aKey) const
{
  return std::prev(mRanges.upper_bound(aKey))->second;
}

unsigned PlacementSimulation::KeysOf(const std::string& aServer) const
{
  unsigned keys = 0;
  for (const auto& [from, range] : mRanges) {
    keys += range.owner == aServer ? range.keys.Width() : 0;
  }
  return keys;
}

} // namespace hawthornlug::test
