/// @file
/// Limits the moves of keys that are made for balance at the same time.
#pragma once

#include <vector>

namespace hawthornlug {

/// Limits moves by the work in motion, since keys in motion are not served, and by the number of
/// ranges that a server takes in at a time.
class MoveBudget
{
public:
  /// @p aMaxWork: work that may be in motion for balance, in seconds of server time per second.
  /// @p aMaxIntake: for each server, the number of ranges that it may take in at a time.
  MoveBudget(double aMaxWork, std::vector<unsigned> aMaxIntake)
    : mMaxWork(aMaxWork)
    , mFreeIntake(std::move(aMaxIntake))
  {
  }

  /// Counts a move for balance with @p aWork that is being made.
  void AddBalancing(double aWork)
  {
    mWorkInMotion += aWork;
    ++mBalancingMoves;
  }
  /// Counts a range that a server takes in.
  void AddIntake(std::size_t aServer) { mFreeIntake[aServer] -= mFreeIntake[aServer] > 0 ? 1 : 0; }

  /// Whether the server may take in one more range.
  bool HasIntake(std::size_t aServer) const { return mFreeIntake[aServer] > 0; }
  /// Whether a move for balance with @p aWork may be added. One is always allowed: in a small fleet
  /// a single range may have more than the allowed share of the work.
  bool Allows(double aWork) const
  {
    return mBalancingMoves == 0 || mWorkInMotion + aWork <= mMaxWork;
  }
  double WorkInMotion() const { return mWorkInMotion; }

private:
  double mMaxWork;
  std::vector<unsigned> mFreeIntake;
  double mWorkInMotion = 0.0;
  unsigned mBalancingMoves = 0;
};

} // namespace hawthornlug
