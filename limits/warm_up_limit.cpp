#include "limits/warm_up_limit.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Permits are counted for a second and their lifetime: they may all be used at its end.
constexpr Duration kWindow = seconds(1) + kPermitLifetime;
/// Share of a server's limit that one issuer grants.
constexpr double kIssuerShare = 0.5;

} // namespace

unsigned WarmUpLimit::Take(const std::string& aServer,
                           unsigned aWanted,
                           double aPerSecond,
                           Instant aNow)
{
  std::deque<Instant>& granted = mGrantedAt[aServer];
  while (!granted.empty() && aNow - granted.front() >= kWindow) {
    granted.pop_front();
  }
  const auto limit = static_cast<std::size_t>(std::max(1.0, kIssuerShare * aPerSecond));
  const std::size_t left = limit - std::min(limit, granted.size());
  const unsigned taken = static_cast<unsigned>(std::min<std::size_t>(left, aWanted));
  granted.insert(granted.end(), taken, aNow);
  return taken;
}

} // namespace hawthornlug
