#include "placement/range_planner.h"

#include <algorithm>
#include <map>

namespace hawthornlug {

namespace {

/// Work that is added for every key, so that without load the ranges are balanced by width.
constexpr double kBaseWorkPerKey = 1e-6;
/// Pieces with less work than this share of a server's capacity are not worth a move.
constexpr double kMinMoveShare = 0.08;
/// Lower limit of a capacity, which is a divisor.
constexpr double kMinCapacity = 0.05;

/// Builds one plan: keeps the work of each server as moves are added.
class RangePlanBuilder
{
public:
  RangePlanBuilder(const std::vector<PlannedRange>& aRanges,
                   const std::vector<PlannedServer>& aServers,
                   const KeyLoad& aLoad,
                   const RangePlanLimits& aLimits)
    : mRanges(aRanges)
    , mLoad(aLoad)
    , mLimits(aLimits)
  {
    for (const PlannedServer& it : aServers) {
      if (it.open) {
        mShares[it.id].capacity = std::max(kMinCapacity, it.capacity);
      }
    }
    for (const PlannedRange& it : mRanges) {
      mOngoingBalancingMoves += it.moving && !it.mustMove ? 1 : 0;
      AddWork(it.target.empty() ? it.owner : it.target, WorkOf(it.keys));
    }
  }

  std::vector<RangeMove> Build()
  {
    if (mShares.empty()) {
      return {};
    }
    PlanRequiredMoves();
    AssignToEmptyServers();
    PlanBalancingMoves();
    return std::move(mMoves);
  }

private:
  /// What a server can do and has to do, in seconds of server time per second.
  struct Share
  {
    double capacity = kMinCapacity;
    double work = 0.0;
  };

  double WorkOf(const KeyRange& aKeys) const
  {
    return mLoad.WorkIn(aKeys) + kBaseWorkPerKey * aKeys.Width();
  }

  /// Adds work to a server; has no effect on a server that may not be assigned keys.
  void AddWork(const std::string& aServer, double aWork)
  {
    const auto it = mShares.find(aServer);
    if (it != mShares.end()) {
      it->second.work += aWork;
    }
  }

  /// Returns a server's work over its capacity, with @p aExtraWork added to its work.
  double UtilisationOf(const std::string& aServer, double aExtraWork = 0.0) const
  {
    const Share& share = mShares.at(aServer);
    return (share.work + aExtraWork) / share.capacity;
  }

  /// Returns the server with the lowest utilisation.
  std::string LeastUtilised() const
  {
    const auto it =
      std::min_element(mShares.begin(), mShares.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.work * aRight.second.capacity <
               aRight.second.work * aLeft.second.capacity;
      });
    return it->first;
  }

  double MeanUtilisation() const
  {
    double work = 0.0;
    double capacity = 0.0;
    for (const auto& [id, share] : mShares) {
      work += share.work;
      capacity += share.capacity;
    }
    return work / capacity;
  }

  void AddMove(const KeyRange& aKeys, const std::string& aFrom, const std::string& aTo)
  {
    const double work = WorkOf(aKeys);
    AddWork(aFrom, -work);
    AddWork(aTo, work);
    mMoves.push_back({ aKeys, aTo });
  }

  /// Moves a whole range, split into pieces so that no server gets much more than its share. A
  /// range that is being moved is not split.
  void MoveInPieces(const PlannedRange& aRange)
  {
    KeyRange rest = aRange.keys;
    while (true) {
      const std::string to = LeastUtilised();
      const Share& share = mShares.at(to);
      const double spareCapacity =
        std::max(MeanUtilisation() * share.capacity - share.work, kMinMoveShare * share.capacity);
      const RangeKey splitAfter = aRange.moving ? rest.to : mLoad.SplitAfter(rest, spareCapacity);
      const KeyRange piece{ rest.from, splitAfter };
      AddMove(piece, aRange.owner, to);
      if (splitAfter >= rest.to) {
        return;
      }
      rest.from = splitAfter + 1;
    }
  }

  /// Moves all ranges that must move; the limit on concurrent moves does not apply to them.
  void PlanRequiredMoves()
  {
    for (const PlannedRange& it : mRanges) {
      if (it.mustMove) {
        MoveInPieces(it);
      }
    }
  }

  /// Whether another move for balance may be added.
  bool MayAddBalancingMove() const
  {
    return mOngoingBalancingMoves + mPlannedBalancingMoves < mLimits.maxConcurrentMoves;
  }

  /// Moves half of the range with the most work to each server without keys.
  void AssignToEmptyServers()
  {
    for (const auto& [id, share] : mShares) {
      if (share.work > 0.0 || !MayAddBalancingMove()) {
        continue;
      }
      const PlannedRange* const heaviest = HeaviestRange("");
      if (heaviest == nullptr || heaviest->keys.Width() < 2) {
        return;
      }
      const KeyRange keys = heaviest->keys;
      RangeKey splitAfter = mLoad.SplitAfter(keys, WorkOf(keys) / 2);
      if (splitAfter >= keys.to || mLoad.WorkIn(keys) <= 0.0) {
        splitAfter = keys.from + (keys.to - keys.from) / 2;
      }
      AddBalancingMove({ splitAfter + 1, keys.to }, *heaviest, id);
    }
  }

  /// Returns the range with the most work that may still be split and moved, of @p aOwner or, if
  /// that is empty, of any server; null if there is none.
  const PlannedRange* HeaviestRange(const std::string& aOwner) const
  {
    const PlannedRange* best = nullptr;
    for (const PlannedRange& it : mRanges) {
      const bool alreadyMoved =
        std::any_of(mMoves.begin(), mMoves.end(), [&](const RangeMove& aMove) {
          return aMove.keys.Overlaps(it.keys);
        });
      if (it.moving || it.mustMove || alreadyMoved || (!aOwner.empty() && it.owner != aOwner)) {
        continue;
      }
      if (best == nullptr || WorkOf(it.keys) > WorkOf(best->keys)) {
        best = &it;
      }
    }
    return best;
  }

  /// Adds a move for balance.
  void AddBalancingMove(const KeyRange& aKeys, const PlannedRange& aRange, const std::string& aTo)
  {
    ++mPlannedBalancingMoves;
    AddMove(aKeys, aRange.owner, aTo);
  }

  /// Moves work off the servers with the highest utilisation until they are below the limits.
  void PlanBalancingMoves()
  {
    std::map<std::string, bool> exhausted;
    while (MayAddBalancingMove() && exhausted.size() < mShares.size()) {
      std::string busiest;
      for (const auto& [id, share] : mShares) {
        if (!exhausted.contains(id) &&
            (busiest.empty() || UtilisationOf(id) > UtilisationOf(busiest))) {
          busiest = id;
        }
      }
      const double utilisation = UtilisationOf(busiest);
      if (utilisation < mLimits.minUtilisation ||
          utilisation < MeanUtilisation() * mLimits.minImbalance) {
        return;
      }
      if (!MovePieceOff(busiest)) {
        exhausted[busiest] = true;
      }
    }
  }

  /// Moves one piece off @p aSource; returns false if no move would help.
  bool MovePieceOff(const std::string& aSource)
  {
    const PlannedRange* const range = HeaviestRange(aSource);
    if (range == nullptr) {
      return false;
    }
    const std::string to = LeastUtilised();
    const double mean = MeanUtilisation();
    const Share& source = mShares.at(aSource);
    const Share& target = mShares.at(to);
    const double excess = source.work - mean * source.capacity;
    const double spareCapacity = mean * target.capacity - target.work;
    const double workToMove = std::min(excess, spareCapacity);
    if (to == aSource || workToMove < kMinMoveShare * target.capacity) {
      return false;
    }
    const KeyRange keys = range->keys;
    const RangeKey splitAfter = mLoad.SplitAfter(keys, workToMove);
    KeyRange piece{ keys.from, splitAfter };
    const double work = WorkOf(piece);
    // If the last key of the piece has more work than the target can take, only the keys before it
    // are moved.
    const double utilisationAfter =
      std::max(UtilisationOf(to, work), UtilisationOf(aSource, -work));
    if (utilisationAfter >= UtilisationOf(aSource)) {
      if (splitAfter == keys.from || WorkOf({ keys.from, splitAfter - 1 }) < kMinMoveShare) {
        return false;
      }
      piece.to = splitAfter - 1;
    }
    AddBalancingMove(piece, *range, to);
    return true;
  }

  const std::vector<PlannedRange>& mRanges;
  const KeyLoad& mLoad;
  const RangePlanLimits& mLimits;
  /// The servers that keys may be moved to.
  std::map<std::string, Share> mShares;
  std::vector<RangeMove> mMoves;
  /// Ranges that are already being moved for balance.
  unsigned mOngoingBalancingMoves = 0;
  /// Moves for balance in this plan.
  unsigned mPlannedBalancingMoves = 0;
};

} // namespace

std::vector<RangeMove> PlanRanges(const std::vector<PlannedRange>& aRanges,
                                  const std::vector<PlannedServer>& aServers,
                                  const KeyLoad& aLoad,
                                  const RangePlanLimits& aLimits)
{
  return RangePlanBuilder(aRanges, aServers, aLoad, aLimits).Build();
}

} // namespace hawthornlug
