#include "placement/fleet_planner.h"

#include "placement/hot_keys.h"
#include "placement/move_budget.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace hawthornlug {

namespace {

/// Work that is added for every key, so that without load the ranges are balanced by width.
constexpr double kBaseWorkPerKey = 1e-6;
/// Pieces with less work than this share of a server's fair share are not worth a move.
constexpr double kMinPiece = 0.12;
/// Ranges with at most this share of a server's fair share may be moved to join a neighbour.
constexpr double kMaxJoinPiece = 0.12;
/// Each plan joins one of this many surplus ranges. With four plans a second, two thirds of the
/// surplus are joined within ten seconds.
constexpr double kSurplusPerJoin = 40.0;
/// Share of the work that may be in motion up to which moves that join ranges are added: the rest
/// is kept for balance.
constexpr double kJoinBudget = 0.2;
/// Lower limit of a capacity, which is a divisor.
constexpr double kMinCapacity = 0.05;
/// A server that sheds work keeps this multiple of its fair share, or of the work of its busiest
/// key if that is more.
constexpr double kSourceGoal = 1.1;
/// A target is filled up to this multiple of its fair share...
constexpr double kTargetGoal = 1.05;
/// ...or, since keys can't be divided, up to this one, which does not make it a source itself.
constexpr double kTargetLimit = 1.15;
/// A key that has more than a server's fair share moves only if the target will have at most this
/// multiple of its present server's utilisation.
constexpr double kWorthwhile = 0.8;
/// Keys that have just moved do so again only if the utilisation of their owner is at least this
/// multiple of the mean.
constexpr double kNeed = 1.35;

/// Builds one plan: keeps the work of each server as moves are added.
class FleetPlanBuilder
{
public:
  FleetPlanBuilder(const std::vector<PlannedRange>& aRanges,
                   const std::vector<PlannedServer>& aServers,
                   const WorkTable& aWork,
                   const FleetPlanLimits& aLimits)
    : mRanges(aRanges)
    , mWork(aWork)
    , mLimits(aLimits)
    , mBudget(MaxWorkInMotion(), IntakesOf(aServers))
    , mRangeCount(aRanges.size())
  {
    for (const PlannedServer& it : aServers) {
      if (it.open) {
        mIndexOf[it.id] = mServers.size();
        mIds.push_back(it.id);
        mServers.push_back({ std::max(kMinCapacity, it.capacity), 0.0, std::nullopt, 0.0 });
      }
    }
    mHeld.resize(mServers.size());
    mHasOverdue.resize(mServers.size());
    mHasShed.resize(mServers.size());
    mIsEmpty.assign(mServers.size(), true);
    for (const PlannedRange& it : mRanges) {
      CountRange(it);
    }
    mMean = BalancedUtilisation(mServers);
  }

  FleetPlan Build()
  {
    if (!mServers.empty()) {
      PlanRequiredMoves();
      AssignToEmptyServers();
      PlanBalancingMoves();
      PlanJoins();
      ListHotKeys();
    }
    mPlan.totalWork = MeasuredIn({ 0, kLastKey });
    mPlan.workInMotion = mBudget.WorkInMotion();
    const RangeKey busiest = mWork.BusiestIn({ 0, kLastKey });
    mPlan.busiestKeyWork = mWork.MeasuredIn({ busiest, busiest });
    return std::move(mPlan);
  }

private:
  /// Index of a server in mServers.
  using Server = std::size_t;

  static std::vector<unsigned> IntakesOf(const std::vector<PlannedServer>& aServers)
  {
    std::vector<unsigned> intakes;
    for (const PlannedServer& it : aServers) {
      if (it.open) {
        intakes.push_back(std::max(1U, it.slots));
      }
    }
    return intakes;
  }

  double MaxWorkInMotion() const { return mLimits.maxWorkInMotion * MeasuredIn({ 0, kLastKey }); }

  double WorkOf(const KeyRange& aKeys) const
  {
    return mWork.WorkIn(aKeys) + kBaseWorkPerKey * aKeys.Width();
  }

  double MeasuredIn(const KeyRange& aKeys) const
  {
    return mWork.MeasuredIn(aKeys) + kBaseWorkPerKey * aKeys.Width();
  }

  std::optional<Server> Find(const std::string& aId) const
  {
    const auto it = mIndexOf.find(aId);
    return it == mIndexOf.end() ? std::nullopt : std::optional(it->second);
  }

  /// Adds a range to the server that has it, or will have it.
  void CountRange(const PlannedRange& aRange)
  {
    const std::optional<Server> owner = Find(aRange.owner);
    if (owner && aRange.overdue) {
      mHasOverdue[*owner] = true;
    }
    const std::optional<Server> server = aRange.target.empty() ? owner : Find(aRange.target);
    if (aRange.moving && !aRange.mustMove) {
      mBudget.AddBalancing(MeasuredIn(aRange.keys));
    }
    if (!server) {
      return;
    }
    mServers[*server].work += WorkOf(aRange.keys);
    mIsEmpty[*server] = false;
    if (aRange.moving) {
      mBudget.AddIntake(*server);
    }
    NoteBusiestKey(*server, aRange.keys);
    if (!aRange.moving && !aRange.mustMove && !aRange.mustStay) {
      mHeld[*server].push_back(&aRange);
    }
  }

  void NoteBusiestKey(Server aServer, const KeyRange& aKeys)
  {
    const RangeKey key = mWork.BusiestIn(aKeys);
    const double work = mWork.WorkIn({ key, key });
    ServerWork& load = mServers[aServer];
    if (work > load.busiestWork) {
      load.busiestKey = key;
      load.busiestWork = work;
    }
  }

  /// Whether the server's busiest key stays there whatever else leaves.
  bool KeepsBusiestKey(Server aServer) const
  {
    return mServers[aServer].BusiestUtilisation() > mMean;
  }
  bool IsTooHot(Server aServer) const { return mServers[aServer].BusiestUtilisation() >= kTooHot; }

  double FairShareOf(Server aServer) const { return mMean * mServers[aServer].capacity; }
  double UtilisationWith(Server aServer, double aWork) const
  {
    return (mServers[aServer].work + aWork) / mServers[aServer].capacity;
  }

  /// Returns the server that has the lowest utilisation once @p aWork is added, of those that can
  /// take in a range. If there is none, another one is returned if @p aForce is set.
  std::optional<Server> LeastUtilised(std::optional<Server> aSource,
                                      double aWork,
                                      bool aForce) const
  {
    std::optional<Server> best;
    std::optional<Server> bestFull;
    for (Server n = 0; n < mServers.size(); ++n) {
      if (n == aSource) {
        continue;
      }
      std::optional<Server>& found = mBudget.HasIntake(n) ? best : bestFull;
      if (!found || UtilisationWith(n, aWork) < UtilisationWith(*found, aWork)) {
        found = n;
      }
    }
    return best || !aForce ? best : bestFull;
  }

  void AddMove(const KeyRange& aKeys,
               std::optional<Server> aFrom,
               Server aTo,
               FleetMoveReason aReason)
  {
    const double work = WorkOf(aKeys);
    if (aFrom) {
      mServers[*aFrom].work -= work;
    }
    mServers[aTo].work += work;
    mIsEmpty[aTo] = false;
    mBudget.AddIntake(aTo);
    NoteBusiestKey(aTo, aKeys);
    mPlan.moves.push_back({ { aKeys, mIds[aTo] }, aReason });
  }

  /// Moves all ranges that must move. Their keys are served badly or not at all, so neither the
  /// work in motion nor, if no server has room, the intake limits them.
  void PlanRequiredMoves()
  {
    for (const PlannedRange& it : mRanges) {
      if (it.mustMove) {
        MoveInPieces(it);
      }
    }
  }

  /// Moves a whole range, split into pieces so that no server gets much more than its share. A
  /// range that is being moved is not split.
  void MoveInPieces(const PlannedRange& aRange)
  {
    KeyRange rest = aRange.keys;
    const std::optional<Server> from = Find(aRange.target.empty() ? aRange.owner : aRange.target);
    while (true) {
      const std::optional<Server> to = LeastUtilised(from, 0.0, true);
      if (!to) {
        return;
      }
      KeyRange piece = rest;
      if (!aRange.moving && mRangeCount < mLimits.maxRanges) {
        const double spare = FairShareOf(*to) * kTargetGoal - mServers[*to].work;
        piece.to = mWork.SplitAfter(rest, std::max(spare, FairShareOf(*to) / 4));
      }
      AddMove(piece, from, *to, FleetMoveReason::kOwnerLost);
      if (piece.to >= rest.to) {
        return;
      }
      ++mRangeCount;
      rest.from = piece.to + 1;
    }
  }

  /// Moves half of a busy range to each server without keys.
  void AssignToEmptyServers()
  {
    std::vector<const PlannedRange*> busiest;
    for (Server n = 0; n < mServers.size(); ++n) {
      if (!mIsEmpty[n]) {
        continue;
      }
      if (busiest.empty()) {
        busiest = HeldByWork();
      }
      if (mNextForEmpty >= busiest.size() || mRangeCount >= mLimits.maxRanges) {
        return;
      }
      const PlannedRange& range = *busiest[mNextForEmpty++];
      const KeyRange piece = UpperHalf(range.keys);
      if (!mBudget.Allows(MeasuredIn(piece))) {
        return;
      }
      AddBalancingMove(piece, *Find(range.owner), n, FleetMoveReason::kEmptyServer);
      mUsed.push_back(&range);
    }
  }

  /// Returns the ranges that can be split, those with the most work first.
  std::vector<const PlannedRange*> HeldByWork() const
  {
    std::vector<const PlannedRange*> ranges;
    for (const std::vector<const PlannedRange*>& held : mHeld) {
      std::copy_if(held.begin(),
                   held.end(),
                   std::back_inserter(ranges),
                   [](const PlannedRange* aRange) { return aRange->keys.Width() > 1; });
    }
    std::stable_sort(
      ranges.begin(), ranges.end(), [this](const PlannedRange* aLeft, const PlannedRange* aRight) {
        return WorkOf(aLeft->keys) > WorkOf(aRight->keys);
      });
    return ranges;
  }

  KeyRange UpperHalf(const KeyRange& aKeys) const
  {
    RangeKey splitAfter = mWork.SplitAfter(aKeys, mWork.WorkIn(aKeys) / 2);
    if (splitAfter >= aKeys.to || mWork.WorkIn(aKeys) <= 0.0) {
      splitAfter = aKeys.from + (aKeys.to - aKeys.from) / 2;
    }
    return { splitAfter + 1, aKeys.to };
  }

  void AddBalancingMove(const KeyRange& aKeys, Server aFrom, Server aTo, FleetMoveReason aReason)
  {
    mBudget.AddBalancing(MeasuredIn(aKeys));
    ++mRangeCount;
    AddMove(aKeys, aFrom, aTo, aReason);
  }

  /// Moves work off the servers that have too much. Those that get a busy key by that then have too
  /// much themselves: their other keys leave at the same time.
  void PlanBalancingMoves()
  {
    ShedFromBusiest();
    ShedFromBusiest();
  }

  /// Moves work off the servers that have too much and have not shed any yet, those with the
  /// highest utilisation first.
  void ShedFromBusiest()
  {
    std::vector<Server> sources;
    for (Server n = 0; n < mServers.size(); ++n) {
      if (!mHasShed[n] && HasTooMuch(n)) {
        sources.push_back(n);
      }
    }
    std::stable_sort(sources.begin(), sources.end(), [this](Server aLeft, Server aRight) {
      return mServers[aLeft].Utilisation() > mServers[aRight].Utilisation();
    });
    for (const Server it : sources) {
      mHasShed[it] = true;
      Shed(it);
    }
  }

  bool HasTooMuch(Server aServer) const
  {
    // A server that is slow to answer releases would keep further keys out of service, too.
    if (mHasOverdue[aServer]) {
      return false;
    }
    const double utilisation = mServers[aServer].Utilisation();
    return IsTooHot(aServer) ||
           (utilisation >= mLimits.minUtilisation && utilisation >= mMean * mLimits.minImbalance);
  }

  /// Returns the parts of a server's ranges that may leave it.
  std::vector<KeyRange> MovableParts(Server aServer) const
  {
    const ServerWork& load = mServers[aServer];
    std::vector<KeyRange> parts;
    for (const PlannedRange* it : mHeld[aServer]) {
      const bool isUsed = std::find(mUsed.begin(), mUsed.end(), it) != mUsed.end();
      if (isUsed || (it->justMoved && load.Utilisation() < mMean * kNeed)) {
        continue;
      }
      if (!KeepsBusiestKey(aServer) || !it->keys.Contains(*load.busiestKey)) {
        parts.push_back(it->keys);
        continue;
      }
      if (it->keys.from < *load.busiestKey) {
        parts.push_back({ it->keys.from, *load.busiestKey - 1 });
      }
      if (it->keys.to > *load.busiestKey) {
        parts.push_back({ *load.busiestKey + 1, it->keys.to });
      }
    }
    return parts;
  }

  /// Work that should leave a server.
  double ExcessOf(Server aServer) const
  {
    const ServerWork& load = mServers[aServer];
    if (IsTooHot(aServer)) {
      return load.work - load.busiestWork;
    }
    const double keeps = KeepsBusiestKey(aServer) ? load.busiestWork : 0.0;
    return load.work - std::max(keeps, FairShareOf(aServer)) * kSourceGoal;
  }

  /// Moves pieces off a server until it has its share or no move would help.
  void Shed(Server aSource)
  {
    std::vector<KeyRange> parts = MovableParts(aSource);
    while (!parts.empty()) {
      const auto part =
        std::max_element(parts.begin(), parts.end(), [this](const auto& aLeft, const auto& aRight) {
          return WorkOf(aLeft) < WorkOf(aRight);
        });
      const std::optional<KeyRange> moved = MovePiece(aSource, *part);
      if (!moved) {
        return;
      }
      if (moved->to == part->to) {
        parts.erase(part);
      } else {
        part->from = moved->to + 1;
      }
    }
  }

  /// Moves keys from the beginning of @p aPart off a server and returns them; nothing if no move
  /// would help or none is allowed now.
  std::optional<KeyRange> MovePiece(Server aSource, const KeyRange& aPart)
  {
    std::optional<Server> to = LeastUtilised(aSource, 0.0, false);
    if (!to) {
      return std::nullopt;
    }
    const double spare = FairShareOf(*to) * kTargetGoal - mServers[*to].work;
    const double wanted = std::min(ExcessOf(aSource), spare);
    const bool isWorthwhile = wanted >= MinPieceOf(*to);
    if (!isWorthwhile && !IsTooHot(aSource)) {
      return std::nullopt;
    }
    const KeyRange piece = Cut(aPart, aSource, *to, std::max(wanted, MinPieceOf(*to)));
    if (IsTooMuch(*to, piece)) {
      // A busy key goes where it leaves the lowest utilisation: often to a faster server.
      to = LeastUtilised(aSource, WorkOf(piece), false);
    }
    if (!Helps(aSource, *to, piece) || !mBudget.Allows(MeasuredIn(piece)) ||
        (mRangeCount >= mLimits.maxRanges && piece != aPart)) {
      return std::nullopt;
    }
    const FleetMoveReason reason =
      IsTooHot(aSource) ? FleetMoveReason::kHotKey : FleetMoveReason::kBalance;
    AddBalancingMove(piece, aSource, *to, reason);
    return piece;
  }

  /// Least work that is worth a move to @p aTo.
  double MinPieceOf(Server aTo) const { return kMinPiece * FairShareOf(aTo); }

  /// Whether the server would have clearly more than its share with these keys.
  bool IsTooMuch(Server aServer, const KeyRange& aKeys) const
  {
    return UtilisationWith(aServer, WorkOf(aKeys)) > mMean * kTargetLimit;
  }

  /// Returns the first keys of @p aPart, with about the wanted work. If the last of them would be
  /// too much for the target, it is left out or, if the others are not worth a move, moves alone.
  KeyRange Cut(const KeyRange& aPart, Server aSource, Server aTo, double aWanted) const
  {
    const KeyRange piece{ aPart.from, mWork.SplitAfter(aPart, aWanted) };
    if (!IsTooMuch(aTo, piece) || piece.Width() == 1) {
      return piece;
    }
    const KeyRange others{ piece.from, piece.to - 1 };
    const bool othersLeave = IsTooHot(aSource) || WorkOf(others) >= MinPieceOf(aTo);
    return othersLeave ? others : KeyRange{ piece.to, piece.to };
  }

  /// Whether a move leaves both servers better off than the source is now.
  bool Helps(Server aSource, Server aTo, const KeyRange& aPiece) const
  {
    const double after = UtilisationWith(aTo, WorkOf(aPiece));
    return after <= mMean * kTargetLimit || after <= mServers[aSource].Utilisation() * kWorthwhile;
  }

  /// Moves ranges with little work to the owner of a neighbouring range, while there are many.
  void PlanJoins()
  {
    const double limit =
      std::min(mLimits.joinAbove * static_cast<double>(mServers.size()), mLimits.maxRanges / 2.0);
    const double surplus = static_cast<double>(mRangeCount) - limit;
    if (surplus <= 0.0) {
      return;
    }
    auto joins = static_cast<std::size_t>(std::ceil(surplus / kSurplusPerJoin));
    for (std::size_t n = 1; n < mRanges.size() && joins > 0; ++n) {
      const PlannedRange& left = mRanges[n - 1];
      const PlannedRange& right = mRanges[n];
      if (Join(left, right) || Join(right, left)) {
        --joins;
        ++n;
      }
    }
  }

  /// Whether moves of this plan leave the range where and as it is.
  bool IsSettled(const PlannedRange& aRange) const
  {
    const std::optional<Server> owner = Find(aRange.owner);
    return owner && !aRange.moving && !aRange.mustMove && !aRange.mustStay && !mHasShed[*owner] &&
           std::find(mUsed.begin(), mUsed.end(), &aRange) == mUsed.end();
  }

  /// Moves a range with little work to the owner of its neighbour, unless that would make another
  /// move for balance necessary. Returns whether it moves.
  bool Join(const PlannedRange& aRange, const PlannedRange& aNeighbour)
  {
    if (!IsSettled(aRange) || !IsSettled(aNeighbour) || aRange.justMoved) {
      return false;
    }
    const Server from = *Find(aRange.owner);
    const Server to = *Find(aNeighbour.owner);
    const bool isLight = WorkOf(aRange.keys) <= kMaxJoinPiece * FairShareOf(to);
    if (from == to || !isLight || mHeld[from].size() < 2 || IsTooHot(to) ||
        IsTooMuch(to, aRange.keys) || !mBudget.HasIntake(to) ||
        !mBudget.Allows(MeasuredIn(aRange.keys) + (1.0 - kJoinBudget) * MaxWorkInMotion())) {
      return false;
    }
    AddBalancingMove(aRange.keys, from, to, FleetMoveReason::kJoin);
    return true;
  }

  void ListHotKeys()
  {
    for (Server n = 0; n < mServers.size(); ++n) {
      if (IsTooHot(n)) {
        mPlan.hotKeys.push_back({ mIds[n], *mServers[n].busiestKey, mServers[n].busiestWork });
      }
    }
  }

  const std::vector<PlannedRange>& mRanges;
  const WorkTable& mWork;
  const FleetPlanLimits& mLimits;
  /// The servers that keys may be moved to.
  std::vector<ServerWork> mServers;
  std::vector<std::string> mIds;
  std::unordered_map<std::string, Server> mIndexOf;
  /// For each server, its ranges that may be moved for balance.
  std::vector<std::vector<const PlannedRange*>> mHeld;
  /// For each server, whether a range is on its way off it for longer than usual.
  std::vector<bool> mHasOverdue;
  /// For each server, whether moves off it have been planned for balance.
  std::vector<bool> mHasShed;
  /// For each server, whether it has no keys.
  std::vector<bool> mIsEmpty;
  MoveBudget mBudget;
  /// Number of ranges once the moves have begun.
  std::size_t mRangeCount = 0;
  /// Utilisation that the servers can share evenly.
  double mMean = 0.0;
  std::size_t mNextForEmpty = 0;
  /// Ranges of which a part goes to an empty server.
  std::vector<const PlannedRange*> mUsed;
  FleetPlan mPlan;
};

} // namespace

FleetPlan PlanFleet(const std::vector<PlannedRange>& aRanges,
                    const std::vector<PlannedServer>& aServers,
                    const WorkTable& aWork,
                    const FleetPlanLimits& aLimits)
{
  return FleetPlanBuilder(aRanges, aServers, aWork, aLimits).Build();
}

} // namespace hawthornlug
