#include "placement/key_profile.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hawthornlug {

namespace {

constexpr std::size_t kKeys = kLastKey + 1;
/// Large enough for several samples of a busy stretch within half a second, small enough to locate
/// a stretch of a few dozen keys.
constexpr std::size_t kStretchKeys = 16;
/// A stretch has changed if the measures differ by this factor and by the samples below.
constexpr double kClearFactor = 2.0;
/// Number of samples that may come at once by chance in one of the 4,096 stretches.
constexpr double kChanceSamples = 4.0;
/// The same beside a stretch that has risen: there a rise is likely.
constexpr double kNeighbourFactor = 1.5;
constexpr double kNeighbourSamples = 1.0;
/// Work below this, in seconds per second, is set to 0: it takes many half-lives to get there.
constexpr double kNegligible = 1e-5;
/// Limits the weight of new work if the last decay was long ago or there was none yet; in
/// half-lives.
constexpr double kMaxLead = 10.0;
/// A stretch may have become busy this long before that is seen: reports come each 0.3 s and plans
/// each 0.25 s.
constexpr Duration kNoticeDelay = milliseconds(150);
/// After a change the fast measure still contains earlier work: for this long no other change is
/// looked for.
constexpr Duration kChangeInterval = milliseconds(1500);
/// The slow measure is used from this time after its start.
constexpr Duration kMinSlowAge = milliseconds(500);
/// From this time after a change on, the slow measure of single keys is precise.
constexpr Duration kEvenOutTime = seconds(10);
/// Largest factor by which the slow measure is raised while it has no more data: it would amplify
/// chance.
constexpr double kMaxStartFactor = 2.0;
/// Number of samples that a key of mean work has when keys without any are rarely chance (one in
/// eight).
constexpr double kIdleSamples = 2.0;
/// Limits of the correction for a change of the whole load.
constexpr double kMinTrend = 0.5;
constexpr double kMaxTrend = 1.25;

/// Converts a decayed sum of seconds into seconds per second.
double SumToRate(Duration aHalfLife)
{
  return std::numbers::ln2 / InSeconds(aHalfLife);
}

double DecayFactor(Duration aElapsed, Duration aHalfLife)
{
  return std::exp2(-InSeconds(aElapsed) / InSeconds(aHalfLife));
}

void DecayAll(std::vector<double>& aWork, double aFactor)
{
  for (double& it : aWork) {
    it *= aFactor;
    it = it < kNegligible ? 0.0 : it;
  }
}

double SumOf(const std::vector<double>& aWork, std::size_t aFirst)
{
  double sum = 0.0;
  for (std::size_t n = aFirst; n < aFirst + kStretchKeys; ++n) {
    sum += aWork[n];
  }
  return sum;
}

struct MeanAndVariance
{
  double mean = 0.0;
  double variance = 0.0;
};

/// Returns the mean and variance of the entries from @p aFirst to before @p aEnd that are above
/// @p aLeast.
MeanAndVariance MeanOf(const std::vector<double>& aWork,
                       std::size_t aFirst,
                       std::size_t aEnd,
                       double aLeast)
{
  double n = 0.0;
  double sum = 0.0;
  double squares = 0.0;
  for (std::size_t i = aFirst; i < aEnd; ++i) {
    if (aWork[i] > aLeast) {
      n += 1.0;
      sum += aWork[i];
      squares += aWork[i] * aWork[i];
    }
  }
  const double mean = n > 0.0 ? sum / n : 0.0;
  return { mean, n > 1.0 ? std::max(0.0, (squares - sum * mean) / (n - 1)) : 0.0 };
}

/// Evens out the differences between the work of keys from @p aFirst to before @p aEnd, as far as
/// chance explains them. @p aVariance is the variance by chance of a key whose work is 1.
void EvenOut(std::vector<double>& aWork, std::size_t aFirst, std::size_t aEnd, double aVariance)
{
  const double meanOfAll = MeanOf(aWork, aFirst, aEnd, -1.0).mean;
  // Keys without requests are told from busy ones as soon as chance does not explain them, and are
  // left alone: they would make the differences between the busy ones look real.
  const bool idleKeysShow = aVariance < meanOfAll / kIdleSamples;
  const double least = idleKeysShow ? meanOfAll / 4 : -1.0;
  const auto [mean, variance] = MeanOf(aWork, aFirst, aEnd, least);
  const double chance = mean * aVariance;
  const double realShare = variance > chance ? 1.0 - chance / variance : 0.0;
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    if (aWork[n] > least) {
      aWork[n] = mean + (aWork[n] - mean) * realShare;
    }
  }
}

} // namespace

double KeyProfile::WeightOf(Instant aNow, Duration aHalfLife) const
{
  // All sums are as of the last Decay(): work that comes later is weighted higher instead.
  const double lead = InSeconds(aNow - mDecayedAt) / InSeconds(aHalfLife);
  return SumToRate(aHalfLife) * std::exp2(std::min(lead, kMaxLead));
}

void KeyProfile::Add(RangeKey aKey, Duration aWork, Instant aNow)
{
  if (mSlow.empty()) {
    mSlow.assign(kKeys, 0.0);
    mFast.assign(kKeys, 0.0);
    mStretches.assign(kKeys / kStretchKeys, {});
    mStartedAt = mDecayedAt = aNow;
  }
  const double work = InSeconds(aWork);
  mSlow[aKey] += work * WeightOf(aNow, kSlowHalfLife);
  mFast[aKey] += work * WeightOf(aNow, kFastHalfLife);
  mTotal += work * WeightOf(aNow, kTotalHalfLife);
  mSampleSum += work;
  mSampleCount += 1.0;
}

void KeyProfile::Decay(Instant aNow)
{
  if (mSlow.empty()) {
    return;
  }
  const Duration elapsed = aNow - mDecayedAt;
  const double slowFactor = DecayFactor(elapsed, kSlowHalfLife);
  DecayAll(mSlow, slowFactor);
  DecayAll(mFast, DecayFactor(elapsed, kFastHalfLife));
  mTotal *= DecayFactor(elapsed, kTotalHalfLife);
  mSampleSum *= slowFactor;
  mSampleCount *= slowFactor;
  mDecayedAt = aNow;
  FindChanges();
}

void KeyProfile::FindChanges()
{
  for (std::size_t n = 0; n < mStretches.size(); ++n) {
    NoteChange(n, kClearFactor, kChanceSamples);
  }
  // The ends of a run may show only later that they have risen, too.
  for (std::size_t n = 0; n < mStretches.size(); ++n) {
    const Stretch& stretch = mStretches[n];
    if (stretch.change == Change::kRisen && mDecayedAt - stretch.changedAt < kChangeInterval) {
      SpreadRise(n);
    }
  }
}

void KeyProfile::SpreadRise(std::size_t aStretch)
{
  const auto hasRisenToo = [this](std::size_t aNeighbour) {
    return NoteChange(aNeighbour, kNeighbourFactor, kNeighbourSamples) &&
           mStretches[aNeighbour].change == Change::kRisen;
  };
  std::size_t n = aStretch;
  while (n > 0 && hasRisenToo(n - 1)) {
    --n;
  }
  n = aStretch + 1;
  while (n < mStretches.size() && hasRisenToo(n)) {
    ++n;
  }
}

bool KeyProfile::NoteChange(std::size_t aStretch, double aFactor, double aSamples)
{
  Stretch& stretch = mStretches[aStretch];
  if (mDecayedAt - stretch.changedAt < kChangeInterval) {
    return false;
  }
  const std::size_t first = aStretch * kStretchKeys;
  const double slow = SumOf(mSlow, first) * SlowFactor(stretch);
  const double fast = SumOf(mFast, first);
  const double noise = aSamples * MeanSample() * SumToRate(kFastHalfLife);
  const bool risen = fast > aFactor * slow + noise;
  const bool fallen = slow > aFactor * fast + noise;
  if (!risen && !fallen) {
    return false;
  }
  stretch.change = risen ? Change::kRisen : Change::kFallen;
  stretch.changedAt = mDecayedAt;
  std::fill_n(mSlow.begin() + static_cast<std::ptrdiff_t>(first), kStretchKeys, 0.0);
  return true;
}

double KeyProfile::SlowFactor(const Stretch& aStretch) const
{
  const bool hasChanged = aStretch.change != Change::kNone;
  const Duration age = mDecayedAt - (hasChanged ? aStretch.changedAt : mStartedAt);
  const double known = 1.0 - DecayFactor(age, kSlowHalfLife);
  if (!hasChanged) {
    return known > 0.0 ? std::min(kMaxStartFactor, 1.0 / known) : kMaxStartFactor;
  }
  return known > 0.0 ? 1.0 / known : 1.0;
}

double KeyProfile::TrendFactor(double aChanged, double aUnchanged) const
{
  return aUnchanged > 0.0 ? std::clamp((mTotal - aChanged) / aUnchanged, kMinTrend, kMaxTrend)
                          : 1.0;
}

bool KeyProfile::UsesFast(const Stretch& aStretch) const
{
  return mDecayedAt - aStretch.changedAt < kMinSlowAge;
}

std::size_t KeyProfile::EndOfRun(std::size_t aFirst) const
{
  const Stretch& first = mStretches[aFirst];
  if (first.change == Change::kNone || mDecayedAt - first.changedAt >= kEvenOutTime) {
    return aFirst;
  }
  std::size_t end = aFirst + 1;
  while (end < mStretches.size() && mStretches[end].change == first.change &&
         mStretches[end].changedAt - first.changedAt <= kMinSlowAge &&
         first.changedAt - mStretches[end].changedAt <= kMinSlowAge) {
    ++end;
  }
  return end;
}

double KeyProfile::WriteChanged(std::size_t aStretch,
                                std::vector<double>& aExpected,
                                std::vector<double>& aMeasured) const
{
  const Stretch& stretch = mStretches[aStretch];
  const Duration age = mDecayedAt - stretch.changedAt;
  const bool isRisen = stretch.change == Change::kRisen;
  const double seen = 1.0 - DecayFactor(age + kNoticeDelay, kFastHalfLife);
  const bool usesFast = UsesFast(stretch);
  const double riseFactor = usesFast && isRisen ? 1.0 / seen : 1.0;
  const double factor = usesFast ? 1.0 : SlowFactor(stretch);
  const std::vector<double>& measure = usesFast ? mFast : mSlow;
  for (std::size_t key = aStretch * kStretchKeys; key < (aStretch + 1) * kStretchKeys; ++key) {
    aMeasured[key] = measure[key] * factor;
    aExpected[key] = aMeasured[key] * riseFactor;
  }
  // Variance of a decayed sum of samples that arrive independently, since the measure began.
  const double lost = usesFast ? 1.0 - seen : DecayFactor(age, kSlowHalfLife);
  const double rate = SumToRate(usesFast ? kFastHalfLife : kSlowHalfLife);
  return MeanSample() * rate / 2 * (1 + lost) / (1 - lost);
}

WorkTable KeyProfile::Table() const
{
  if (mSlow.empty()) {
    return {};
  }
  std::vector<double> expected(kKeys);
  std::vector<double> measured(kKeys);
  std::vector<std::size_t> unchanged;
  double changedWork = 0.0;
  double unchangedWork = 0.0;
  for (std::size_t n = 0; n < mStretches.size();) {
    const std::size_t end = EndOfRun(n);
    if (end == n) {
      unchanged.push_back(n);
      unchangedWork += SumOf(mSlow, n * kStretchKeys) * SlowFactor(mStretches[n]);
      ++n;
      continue;
    }
    changedWork += WriteRun(n, end, expected, measured);
    n = end;
  }
  const double trend = TrendFactor(changedWork, unchangedWork);
  for (const std::size_t n : unchanged) {
    const double factor = SlowFactor(mStretches[n]) * trend;
    for (std::size_t key = n * kStretchKeys; key < (n + 1) * kStretchKeys; ++key) {
      expected[key] = measured[key] = mSlow[key] * factor;
    }
  }
  return { expected, measured };
}

double KeyProfile::WriteRun(std::size_t aFirst,
                            std::size_t aEnd,
                            std::vector<double>& aExpected,
                            std::vector<double>& aMeasured) const
{
  double variance = 0.0;
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    variance += WriteChanged(n, aExpected, aMeasured) / static_cast<double>(aEnd - aFirst);
  }
  EvenOut(aExpected, aFirst * kStretchKeys, aEnd * kStretchKeys, variance);
  double work = 0.0;
  for (std::size_t n = aFirst; n < aEnd; ++n) {
    work += SumOf(aExpected, n * kStretchKeys);
  }
  return work;
}

} // namespace hawthornlug
