#include "placement/hot_keys.h"

#include <algorithm>

namespace hawthornlug {

double BalancedUtilisation(const std::vector<ServerWork>& aServers)
{
  double work = 0.0;
  double capacity = 0.0;
  std::vector<const ServerWork*> byBusiest;
  for (const ServerWork& it : aServers) {
    work += it.work;
    capacity += it.capacity;
    byBusiest.push_back(&it);
  }
  std::sort(
    byBusiest.begin(), byBusiest.end(), [](const ServerWork* aLeft, const ServerWork* aRight) {
      return aLeft->BusiestUtilisation() > aRight->BusiestUtilisation();
    });
  for (const ServerWork* it : byBusiest) {
    const bool isLast = capacity <= it->capacity * 1.001;
    if (isLast || it->BusiestUtilisation() * capacity <= work) {
      break;
    }
    // Only the key stays there: the server's other work is for the others.
    work -= it->busiestWork;
    capacity -= it->capacity;
  }
  return capacity > 0.0 ? std::max(0.0, work) / capacity : 0.0;
}

} // namespace hawthornlug
