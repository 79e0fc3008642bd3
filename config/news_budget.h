/// @file
/// The time budget of news from the store: the stages that a change passes from its confirmation
/// until it is in force at every daemon, whichever of them are lost. What a stage may take is
/// decided here and nowhere else, so that the sum can be checked; docs/design/news-budget.md
/// explains it.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"

#include <bit>

namespace hawthornlug {

/// Interval at which daemons make the decisions below.
inline constexpr Duration kNewsTick = milliseconds(20);
/// A call of a store that is well, and a message between daemons that a relay has passed on.
inline constexpr Duration kStoreCall = milliseconds(20);
inline constexpr Duration kTransit = milliseconds(20);

/// The watches of the daemon that watches closely end when a change comes, or at the next multiple
/// of this time. Their answers tell all others that they have missed nothing until then.
inline constexpr Duration kCloseServersWait = milliseconds(300);
inline constexpr Duration kCloseConfigurationWait = milliseconds(600);
/// How long the other watches wait.
inline constexpr Duration kWatchWait = milliseconds(1200);
/// Domains are rarely taken out of service, and there is more time for it.
inline constexpr Duration kDomainWatchWait = milliseconds(3000);
/// After changes of servers' entries the next ones are waited for this long and read together,
/// since each reading is a call to the store and is passed on to all daemons.
inline constexpr Duration kCloseServersPause = milliseconds(250);
inline constexpr Duration kServersPause = milliseconds(500);

/// A daemon that has not heard for this long that it has missed nothing reads the store itself.
inline constexpr Duration kCurrencyPatience = milliseconds(700);
inline constexpr Duration kDomainCurrencyPatience = milliseconds(3500);
/// The daemons that are preferred as watchers read first, and tell the others; each step lets twice
/// as many read as all before it.
inline constexpr Duration kRefreshStep = milliseconds(25);

constexpr Duration CurrencyPatience(ObjectKind aKind)
{
  return aKind == ObjectKind::kDomainOut ? kDomainCurrencyPatience : kCurrencyPatience;
}

/// How much later than the first a daemon reads the store. @p aRank: number of daemons that are
/// preferred to it.
constexpr Duration RefreshDelay(unsigned aRank)
{
  return kRefreshStep * std::bit_width(aRank);
}

constexpr Duration CloseWatchWait(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::kServer:
      return kCloseServersWait;
    case ObjectKind::kDomainOut:
      return kDomainWatchWait;
    default:
      return kCloseConfigurationWait;
  }
}

/// Longest time between two statements that a daemon has missed nothing, while a daemon watches
/// closely. An answer with a change shows the state at the beginning of its call only; a pause may
/// last past the end of the next wait.
constexpr Duration LongestStatementGap(ObjectKind aKind)
{
  const Duration wait = CloseWatchWait(aKind);
  const Duration pause = aKind == ObjectKind::kServer ? kCloseServersPause : Duration::zero();
  const auto waits = 1 + (pause + wait - Duration(1)) / wait;
  return waits * wait + 2 * kNewsTick + kStoreCall + kTransit;
}

/// Longest time from the confirmation of a change until it is in force at every live daemon that
/// reaches the store, or a daemon that does, in a fleet of @p aDaemons of which any number is lost.
constexpr Duration LongestLag(ObjectKind aKind, unsigned aDaemons)
{
  const Duration reading = kNewsTick + kStoreCall;
  const Duration exchange = kNewsTick + 2 * kTransit;
  return CurrencyPatience(aKind) + RefreshDelay(aDaemons - 1) + reading + exchange;
}

} // namespace hawthornlug
