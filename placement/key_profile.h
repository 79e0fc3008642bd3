/// @file
/// Estimates how much server time the recent requests for each key take, with two half-lives.
#pragma once

#include "core/instant.h"
#include "placement/work_table.h"

#include <vector>

namespace hawthornlug {

/// Work by key, measured with a slow and a fast exponential decay. The slow measure is precise; the
/// fast one shows within a second that a stretch of keys has become busy. Where the two differ by
/// more than chance explains, the fast one is used at first, and the slow one starts anew.
class KeyProfile
{
public:
  /// Half-lives of the two measures.
  static constexpr Duration kSlowHalfLife = seconds(5);
  static constexpr Duration kFastHalfLife = milliseconds(600);
  /// Half-life of the measure of the work of all keys together. It has enough samples to be precise
  /// sooner than that of a stretch.
  static constexpr Duration kTotalHalfLife = milliseconds(300);

  /// Adds @p aWork, the server time that requests for @p aKey took.
  void Add(RangeKey aKey, Duration aWork, Instant aNow);
  /// Decays the work of all keys up to @p aNow and looks for stretches whose work has changed. To
  /// be called at intervals.
  void Decay(Instant aNow);
  /// Returns the work of all keys as of the last Decay().
  WorkTable Table() const;

private:
  enum class Change
  {
    kNone,
    kRisen,
    kFallen,
  };
  /// Neighbouring keys whose changes are looked for together.
  struct Stretch
  {
    /// The last change, and when it was seen. The slow measure began then.
    Change change = Change::kNone;
    Instant changedAt;
  };

  /// Weight of a sample that is added now, in units as of the last Decay().
  double WeightOf(Instant aNow, Duration aHalfLife) const;
  double MeanSample() const { return mSampleCount > 0.0 ? mSampleSum / mSampleCount : 0.0; }
  /// Looks for stretches whose work has clearly changed, and for their neighbours that have changed
  /// with them.
  void FindChanges();
  /// Notes a change of a stretch if the fast measure differs from the slow one by a factor and by a
  /// number of samples.
  bool NoteChange(std::size_t aStretch, double aFactor, double aSamples);
  /// Notes that the stretches before and after one that has risen have risen, too.
  void SpreadRise(std::size_t aStretch);
  /// Factor that turns the slow measure of a stretch into the rate since its last change.
  double SlowFactor(const Stretch& aStretch) const;
  /// Factor that corrects the slow measure of the stretches that have not changed by themselves for
  /// a change of the whole load. @p aChanged: expected work of the others; @p aUnchanged: work of
  /// these by the slow measure.
  double TrendFactor(double aChanged, double aUnchanged) const;
  /// Whether the slow measure of a stretch has just started anew, so that the fast one is used.
  bool UsesFast(const Stretch& aStretch) const;
  /// Returns the end of the run of stretches from @p aFirst on that have changed together, lately;
  /// @p aFirst if it has not changed lately.
  std::size_t EndOfRun(std::size_t aFirst) const;
  /// Writes the work of a stretch that has changed lately. Returns the variance that chance causes
  /// in the expected work of a key whose expected work is 1.
  double WriteChanged(std::size_t aStretch,
                      std::vector<double>& aExpected,
                      std::vector<double>& aMeasured) const;

  /// Writes the work of a run of stretches that have changed, with chance differences between keys
  /// evened out. Returns its expected work.
  double WriteRun(std::size_t aFirst,
                  std::size_t aEnd,
                  std::vector<double>& aExpected,
                  std::vector<double>& aMeasured) const;

  /// Empty until the first Add(): only the daemon that plans gets samples.
  std::vector<double> mSlow;
  std::vector<double> mFast;
  std::vector<Stretch> mStretches;
  double mTotal = 0.0;
  Instant mStartedAt;
  Instant mDecayedAt;
  /// Decayed sum and number of samples, for their mean.
  double mSampleSum = 0.0;
  double mSampleCount = 0.0;
};

} // namespace hawthornlug
