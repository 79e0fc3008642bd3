/// @file
/// Revisions of the store's objects, which go back when the store is restored from a copy.
#pragma once

#include <compare>
#include <cstdint>

namespace hawthornlug {

/// Counts how often the store was restored from a copy; 0 for a store that does not say.
using StoreEra = std::uint64_t;
/// The era of a store that was never restored, unless it counts from 0. In a later one an object
/// that is missing may have been lost.
inline constexpr StoreEra kFirstStoreEra = 1;

/// Bits of terms and fencing tokens that count within an era. 2^40 changes take 87 years at 400 a
/// second, and 2^13 eras leave tokens exact in servers that parse numbers as doubles.
inline constexpr unsigned kBitsWithinEra = 40;

/// The number from which the terms and fencing tokens of an era are counted: all of an earlier era
/// are lower.
constexpr std::uint64_t FirstNumberOf(StoreEra aEra)
{
  return aEra << kBitsWithinEra;
}

/// A revision of the store. After a restore its numbers are given out again, so a number alone does
/// not identify a state: revisions of a later era are newer than all of an earlier one. A bare
/// number does not convert to a revision.
class StoreRevision
{
public:
  constexpr StoreRevision() = default;
  constexpr explicit StoreRevision(std::uint64_t aNumber, StoreEra aEra = 0)
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  constexpr StoreEra Era() const { return mEra; }
  constexpr std::uint64_t Number() const { return mNumber; }
  /// Whether it stands for no object, or for nothing that was read.
  constexpr bool IsNone() const { return mNumber == 0; }

  bool operator==(const StoreRevision&) const = default;
  // The linter takes the literal 0 in the generated comparison for a null pointer.
  auto operator<=>(const StoreRevision&) const = default; // NOLINT(modernize-use-nullptr)

private:
  StoreEra mEra = 0;
  std::uint64_t mNumber = 0;
};

} // namespace hawthornlug
