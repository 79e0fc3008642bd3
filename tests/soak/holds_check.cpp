#include "tests/soak/holds_check.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace hawthornlug::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kKeys = 65536;
constexpr milliseconds kLongestSharing{ 500 };

std::string HoldersOf(PlatformFleet& aFleet, unsigned aKey)
{
  std::ostringstream text;
  for (unsigned n = 0; n < aFleet.Servers(); ++n) {
    const StandInServer& server = aFleet.Server(n);
    const StandInServer::Hold* const hold = server.FindHold(aKey);
    if (hold != nullptr) {
      text << " " << server.Id() << " (life " << server.Life() << ") " << hold->from << "-"
           << hold->to << " token " << hold->token << " for another "
           << Seconds(hold->until - steady_clock::now()) << " s;";
    }
  }
  return text.str();
}

/// For each key, how many servers hold it; without holds that don't count.
std::vector<std::uint8_t> CountHolders(PlatformFleet& aFleet, steady_clock::time_point aNow)
{
  std::vector<std::uint8_t> holders(kKeys);
  for (unsigned n = 0; n < aFleet.Servers(); ++n) {
    for (const StandInServer::Hold& it : aFleet.Server(n).AllHolds()) {
      if (it.until > aNow && !it.excused) {
        std::for_each(
          holders.begin() + it.from, holders.begin() + it.to + 1, [](auto& aCount) { ++aCount; });
      }
    }
  }
  return holders;
}

} // namespace

std::string Seconds(steady_clock::duration aTime)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(aTime).count();
  return text.str();
}

HoldsCheck::HoldsCheck()
  : mSharedSince(kKeys)
{
}

std::string HoldsCheck::Check(PlatformFleet& aFleet, steady_clock::time_point aNow)
{
  const std::vector<std::uint8_t> holders = CountHolders(aFleet, aNow);
  bool shared = false;
  for (unsigned key = 0; key < kKeys; ++key) {
    if (holders[key] < 2) {
      mSharedSince[key] = {};
      continue;
    }
    shared = true;
    if (mSharedSince[key] == steady_clock::time_point()) {
      mSharedSince[key] = aNow;
    } else if (aNow - mSharedSince[key] > kLongestSharing) {
      return "OWNER: two servers held key " + std::to_string(key) +
             " for over 500 ms:" + HoldersOf(aFleet, key);
    }
  }
  mSharedChecks += shared ? 1 : 0;
  if (!shared) {
    aFleet.ForgetSharedRuns();
  }
  return "";
}

} // namespace hawthornlug::test
