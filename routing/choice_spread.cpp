#include "routing/choice_spread.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Servers of a service differ in speed by no more than a factor of about 4 (0.5 to 1.7): a greater
/// spread would not change the choice.
constexpr double kMaxSpread = 6.0;
/// The preferences are evenly distributed from 0 to 1, with a mean of one half.
constexpr double kInverseMeanPreference = 2.0;

} // namespace

double ChoiceSpread(unsigned aTaken, unsigned aSlots)
{
  const unsigned taken = std::min(aTaken, aSlots);
  const unsigned free = std::max(1U, aSlots - taken);
  return std::min(kMaxSpread, kInverseMeanPreference * taken / free);
}

} // namespace hawthornlug
