#include "runtime/load_messages.h"

#include <algorithm>

namespace hawthornlug {

wire::Envelope MakeLoadMessage(const InFlightCounts& aCounts, LoadScope aScope)
{
  wire::Envelope message;
  wire::RouterLoad* const load = message.mutable_load();
  load->set_scope(static_cast<std::uint32_t>(aScope));
  for (const auto& [server, n] : aCounts) {
    load->add_servers(server);
    load->add_counts(n);
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

std::optional<LoadScope> ScopeOf(const wire::RouterLoad& aReport)
{
  if (aReport.scope() >= kLoadScopeNames.size()) {
    return std::nullopt;
  }
  return static_cast<LoadScope>(aReport.scope());
}

} // namespace hawthornlug
