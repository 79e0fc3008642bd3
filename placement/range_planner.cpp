#include "placement/range_planner.h"

#include <algorithm>
#include <map>

namespace hawthornlug {

namespace {

/// A key without work still counts as this much, so that widths are levelled when all is quiet.
constexpr double kWorkOfIdleKey = 1e-6;
/// Pieces with less work than this share of a server are not worth a move.
constexpr double kSmallestGain = 0.08;

/// The plan while it is made.
class Plan
{
public:
  Plan(const std::vector<PlannedRange>& aRanges,
       const std::vector<PlannedServer>& aServers,
       const KeyLoad& aLoad,
       const PlanBounds& aBounds)
    : mRanges(aRanges)
    , mLoad(aLoad)
    , mBounds(aBounds)
  {
    for (const PlannedServer& it : aServers) {
      if (it.open) {
        mCapacity[it.id] = std::max(0.05, it.capacity);
        mWork[it.id] = 0.0;
      }
    }
    for (const PlannedRange& it : mRanges) {
      mMovingNow += it.moving && !it.mustMove ? 1 : 0;
      Charge(it.target.empty() ? it.owner : it.target, WorkOf(it.keys));
    }
  }

  std::vector<RangeMove> Make()
  {
    if (mCapacity.empty()) {
      return {};
    }
    MoveWhatMust();
    FillEmpty();
    Balance();
    return std::move(mMoves);
  }

private:
  double WorkOf(const KeyRange& aKeys) const
  {
    return mLoad.Of(aKeys) + kWorkOfIdleKey * aKeys.Width();
  }

  void Charge(const std::string& aServer, double aWork)
  {
    const auto it = mWork.find(aServer);
    if (it != mWork.end()) {
      it->second += aWork;
    }
  }

  double UseOf(const std::string& aServer, double aMore = 0.0) const
  {
    return (mWork.at(aServer) + aMore) / mCapacity.at(aServer);
  }

  std::string Emptiest(double aMore) const
  {
    const auto it =
      std::min_element(mWork.begin(), mWork.end(), [&](const auto& aLeft, const auto& aRight) {
        return UseOf(aLeft.first, aMore) < UseOf(aRight.first, aMore);
      });
    return it->first;
  }

  double MeanUse() const
  {
    double work = 0.0;
    double capacity = 0.0;
    for (const auto& [id, load] : mWork) {
      work += load;
      capacity += mCapacity.at(id);
    }
    return work / capacity;
  }

  void Give(const KeyRange& aKeys, const std::string& aFrom, const std::string& aTo)
  {
    const double work = WorkOf(aKeys);
    Charge(aFrom, -work);
    Charge(aTo, work);
    mMoves.push_back({ aKeys, aTo });
  }

  /// Gives a range away piece by piece, so that no server gets more than its part.
  void Scatter(const PlannedRange& aRange)
  {
    KeyRange rest = aRange.keys;
    while (true) {
      const std::string to = Emptiest(0.0);
      const double room =
        std::max(MeanUse() * mCapacity.at(to) - mWork.at(to), kSmallestGain * mCapacity.at(to));
      const RangeKey cut = aRange.moving ? rest.to : mLoad.CutAt(rest, room);
      const KeyRange piece{ rest.from, cut };
      Give(piece, aRange.owner, to);
      if (cut >= rest.to) {
        return;
      }
      rest.from = cut + 1;
    }
  }

  void MoveWhatMust()
  {
    for (const PlannedRange& it : mRanges) {
      if (it.mustMove) {
        Scatter(it);
      }
    }
  }

  bool MayMove() const { return mMovingNow + mBalanced < mBounds.atOnce; }

  /// Gives servers without any keys a part of the range that has most.
  void FillEmpty()
  {
    for (const auto& [id, work] : mWork) {
      if (work > 0.0 || !MayMove()) {
        continue;
      }
      const PlannedRange* const widest = Heaviest("");
      if (widest == nullptr || widest->keys.Width() < 2) {
        return;
      }
      const KeyRange keys = widest->keys;
      RangeKey cut = mLoad.CutAt(keys, WorkOf(keys) / 2);
      if (cut >= keys.to || mLoad.Of(keys) <= 0.0) {
        cut = keys.from + (keys.to - keys.from) / 2;
      }
      Take({ cut + 1, keys.to }, *widest, id);
    }
  }

  /// The range with most work that may still be cut, of one server or of any.
  const PlannedRange* Heaviest(const std::string& aOwner) const
  {
    const PlannedRange* best = nullptr;
    for (const PlannedRange& it : mRanges) {
      const bool taken = std::any_of(mMoves.begin(), mMoves.end(), [&](const RangeMove& aMove) {
        return aMove.keys.Overlaps(it.keys);
      });
      if (it.moving || it.mustMove || taken || (!aOwner.empty() && it.owner != aOwner)) {
        continue;
      }
      if (best == nullptr || WorkOf(it.keys) > WorkOf(best->keys)) {
        best = &it;
      }
    }
    return best;
  }

  void Take(const KeyRange& aKeys, const PlannedRange& aRange, const std::string& aTo)
  {
    ++mBalanced;
    Give(aKeys, aRange.owner, aTo);
  }

  void Balance()
  {
    std::map<std::string, bool> done;
    while (MayMove() && done.size() < mWork.size()) {
      std::string busiest;
      for (const auto& [id, work] : mWork) {
        if (!done.contains(id) && (busiest.empty() || UseOf(id) > UseOf(busiest))) {
          busiest = id;
        }
      }
      const double use = UseOf(busiest);
      if (use < mBounds.busy || use < MeanUse() * mBounds.imbalance) {
        return;
      }
      if (!Relieve(busiest)) {
        done[busiest] = true;
      }
    }
  }

  /// Moves one piece off a server; false if that would not help.
  bool Relieve(const std::string& aBusy)
  {
    const PlannedRange* const range = Heaviest(aBusy);
    if (range == nullptr) {
      return false;
    }
    const std::string to = Emptiest(0.0);
    const double excess = mWork.at(aBusy) - MeanUse() * mCapacity.at(aBusy);
    const double room = MeanUse() * mCapacity.at(to) - mWork.at(to);
    const double wanted = std::min(excess, room);
    if (to == aBusy || wanted < kSmallestGain * mCapacity.at(to)) {
      return false;
    }
    const KeyRange keys = range->keys;
    const RangeKey cut = mLoad.CutAt(keys, wanted);
    KeyRange piece{ keys.from, cut };
    const double work = WorkOf(piece);
    // A single key may have more work than fits: it stays, and what lies beside it goes.
    const double after = std::max(UseOf(to, work), UseOf(aBusy, -work));
    if (after >= UseOf(aBusy)) {
      if (cut == keys.from || WorkOf({ keys.from, cut - 1 }) < kSmallestGain) {
        return false;
      }
      piece.to = cut - 1;
    }
    Take(piece, *range, to);
    return true;
  }

  const std::vector<PlannedRange>& mRanges;
  const KeyLoad& mLoad;
  const PlanBounds& mBounds;
  std::map<std::string, double> mCapacity;
  std::map<std::string, double> mWork;
  std::vector<RangeMove> mMoves;
  unsigned mMovingNow = 0;
  unsigned mBalanced = 0;
};

} // namespace

std::vector<RangeMove> PlanRanges(const std::vector<PlannedRange>& aRanges,
                                  const std::vector<PlannedServer>& aServers,
                                  const KeyLoad& aLoad,
                                  const PlanBounds& aBounds)
{
  return Plan(aRanges, aServers, aLoad, aBounds).Make();
}

} // namespace hawthornlug
