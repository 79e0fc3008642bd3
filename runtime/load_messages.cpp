#include "runtime/load_messages.h"

#include <algorithm>

namespace hawthornlug {

wire::Envelope MakeLoadMessage(const InFlightCounts& aCounts,
                               LoadScope aScope,
                               WaitingCounts aWaiting)
{
  wire::Envelope message;
  wire::RouterLoad* const load = message.mutable_load();
  load->set_scope(static_cast<std::uint32_t>(aScope));
  for (const auto& [server, n] : aCounts) {
    load->add_servers(server);
    load->add_counts(n);
  }
  LimitTargets(aWaiting, kMaxWaitingTargets);
  for (const auto& [target, levels] : aWaiting) {
    load->add_waited_for(target);
    for (const unsigned n : levels) {
      load->add_waiting(n);
    }
  }
  return message;
}

InFlightCounts CountsOf(const wire::RouterLoad& aReport)
{
  InFlightCounts counts;
  for (int n = 0; n < std::min(aReport.servers_size(), aReport.counts_size()); ++n) {
    counts[aReport.servers(n)] = aReport.counts(n);
  }
  return counts;
}

WaitingCounts WaitingOf(const wire::RouterLoad& aReport)
{
  constexpr int kLevels = static_cast<int>(kWaitingLevels);
  const int targets = std::min({ aReport.waited_for_size(),
                                 aReport.waiting_size() / kLevels,
                                 static_cast<int>(kMaxWaitingTargets) });
  WaitingCounts waiting;
  for (int target = 0; target < targets; ++target) {
    WaitingLevels& levels = waiting[aReport.waited_for(target)];
    for (int level = 0; level < kLevels; ++level) {
      levels.at(static_cast<std::size_t>(level)) = aReport.waiting(target * kLevels + level);
    }
  }
  return waiting;
}

std::optional<LoadScope> ScopeOf(const wire::RouterLoad& aReport)
{
  if (aReport.scope() >= kLoadScopeNames.size()) {
    return std::nullopt;
  }
  return static_cast<LoadScope>(aReport.scope());
}

} // namespace hawthornlug
