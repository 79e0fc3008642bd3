#include "limits/room_allotment.h"

#include "core/hashing.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Share of the room that is left to lower levels if they have requests.
constexpr double kShareOfLowerLevels = 0.1;
/// Time in which a difference between the room and the outstanding requests is made up. What a
/// daemon knows is 80 to 200 ms old: in a shorter time, daemons would correct the same difference
/// several times.
constexpr Duration kCorrectionTime = milliseconds(200);
/// Bounds of the corrected rate, as multiples of the rate at which the target ends requests.
constexpr double kMinRate = 0.05;
constexpr double kMaxRate = 3.0;
/// A daemon saves up the credit of this time, and of one request at least.
constexpr Duration kCreditTime = milliseconds(100);
/// A daemon keeps its share for this time without a report. A relay that fails is replaced after
/// 700 ms. With 500 ms, a third of the daemons sent all that waited at once, and the server turned
/// 18 % of the requests away (test, "a relay lost").
constexpr Duration kShareLifetime = milliseconds(1500);
/// Time until the reports of all daemons contain the demand for a target that had none: the age
/// that counts from other domains may have.
constexpr Duration kAssumptionLifetime = milliseconds(400);
/// Credits that have not been used for this long are forgotten.
constexpr Duration kCreditLifetime = seconds(30);

/// Maps a hash to a number from 0 to 1.
double UnitInterval(std::uint64_t aHash)
{
  return static_cast<double>(aHash) / static_cast<double>(UINT64_MAX);
}

} // namespace

std::array<double, kWaitingLevels> DivideRoom(double aRoom, const WaitingLevels& aDemand)
{
  std::array<double, kWaitingLevels> division{};
  double left = aRoom;
  double demandBelow = TotalOf(aDemand);
  for (std::size_t n = 0; n < kWaitingLevels; ++n) {
    demandBelow -= aDemand.at(n);
    const double reserved = std::min(demandBelow, kShareOfLowerLevels * left);
    division.at(n) = std::min<double>(aDemand.at(n), left - reserved);
    left -= division.at(n);
  }
  return division;
}

RoomAllotment::RoomAllotment(std::string aDaemon)
  : mDaemon(std::move(aDaemon))
  , mOthers(kShareLifetime)
{
}

void RoomAllotment::SetOthers(const std::string& aSender, WaitingCounts aCounts, Instant aNow)
{
  mOthers.Put(aSender, std::move(aCounts), aNow);
}

void RoomAllotment::Tick(Instant aNow)
{
  mOthers.Expire(aNow);
  mTotal = mOthers.Total();
  std::erase_if(mAssumed, [aNow](const auto& aEntry) { return aNow >= aEntry.second.until; });
  std::erase_if(
    mCredits, [aNow](const auto& aEntry) { return aNow - aEntry.second.usedAt > kCreditLifetime; });
}

WaitingLevels RoomAllotment::OthersFor(std::uint32_t aTarget) const
{
  const auto it = mTotal.find(aTarget);
  WaitingLevels levels = it == mTotal.end() ? WaitingLevels{} : it->second;
  const auto assumed = mAssumed.find(aTarget);
  if (assumed != mAssumed.end()) {
    for (std::size_t n = 0; n < kWaitingLevels; ++n) {
      levels.at(n) = std::max(levels.at(n), assumed->second.levels.at(n));
    }
  }
  return levels;
}

void RoomAllotment::AssumeOthers(std::uint32_t aTarget, const WaitingLevels& aLevels, Instant aNow)
{
  mAssumed[aTarget] = { aLevels, aNow + kAssumptionLifetime };
}

double RoomAllotment::RoomPerSecond(const ServerRoom& aRoom) const
{
  const double rate = aRoom.perSecond * mHeardShare;
  const double wanted = (aRoom.slots + 1) * mHeardShare;
  const double missing = (wanted - aRoom.outstanding) / InSeconds(kCorrectionTime);
  return std::clamp(rate + missing, kMinRate * rate, kMaxRate * rate);
}

RoomShare RoomAllotment::ShareOf(std::uint32_t aTarget,
                                 std::size_t aLevel,
                                 const WaitingLevels& aOwn,
                                 const ServerRoom& aRoom,
                                 Instant aNow)
{
  RoomShare share;
  const WaitingLevels others = OthersFor(aTarget);
  if (!HasReports() || TotalOf(others) == 0) {
    return share;
  }
  WaitingLevels demand = aOwn;
  for (std::size_t n = 0; n < kWaitingLevels; ++n) {
    demand.at(n) += others.at(n);
  }
  const double window = InSeconds(kDemandWindow);
  const double room = RoomPerSecond(aRoom) * window;
  const double given = DivideRoom(room, demand).at(aLevel);
  if (given >= demand.at(aLevel)) {
    return share;
  }
  share.unlimited = false;
  share.served = given / demand.at(aLevel);
  // The expected wait does not follow the corrections: they change with each report, and a request
  // that has been accepted would be rejected at the next one.
  const double usual = aRoom.perSecond * mHeardShare * window;
  share.perSecond =
    DivideRoom(usual, demand).at(aLevel) / demand.at(aLevel) * aOwn.at(aLevel) / window;
  share.credit = CreditsOf(aTarget, aNow).levels.at(aLevel);
  return share;
}

RoomAllotment::Credits& RoomAllotment::CreditsOf(std::uint32_t aTarget, Instant aNow)
{
  const auto [it, isNew] = mCredits.try_emplace(aTarget);
  Credits& credits = it->second;
  if (isNew) {
    for (std::size_t n = 0; n < kWaitingLevels; ++n) {
      const std::string item = std::to_string(aTarget) + "/" + std::to_string(n);
      credits.levels.at(n) = UnitInterval(RendezvousWeight(item, mDaemon));
    }
  }
  credits.usedAt = aNow;
  return credits;
}

void RoomAllotment::OnArrival(std::uint32_t aTarget,
                              std::size_t aLevel,
                              const RoomShare& aShare,
                              Instant aNow)
{
  if (aShare.unlimited) {
    return;
  }
  double& credit = CreditsOf(aTarget, aNow).levels.at(aLevel);
  const double most = 1.0 + aShare.perSecond * InSeconds(kCreditTime);
  credit = std::max(credit, std::min(credit + aShare.served, most));
}

void RoomAllotment::OnSent(std::uint32_t aTarget, std::size_t aLevel, Instant aNow)
{
  double& credit = CreditsOf(aTarget, aNow).levels.at(aLevel);
  credit = std::max(0.0, credit - 1.0);
}

} // namespace hawthornlug
