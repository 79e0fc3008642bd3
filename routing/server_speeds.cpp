#include "routing/server_speeds.h"

#include <algorithm>
#include <cmath>

namespace hawthornlug {

namespace {

/// Samples count half after this time. A server's speed is fixed for its life, so that only the
/// scale of the samples, the daemons' estimates of the work, changes.
constexpr Duration kHalfLife = seconds(45);
/// Weight of the assumption that a server has its service's mean speed, in samples: the variance of
/// a clamped sample (0.3) divided by the variance between servers (0.12 for factors 0.5 to 1.7).
constexpr double kPriorSamples = 2.5;
/// A sample is clamped to this range, relative to the server's estimate. Of service times with a
/// log-normal spread of 0.8, 95 % lie within it; the tail of 5 to 7 times does not.
constexpr double kMinSample = 0.2;
constexpr double kMaxSample = 2.5;
/// A server is known from this number of samples on: then they outweigh the assumption.
constexpr double kKnownSamples = 6.0;
/// Samples of others that arrive this soon after the start of an incarnation may be of the earlier
/// one: reports pass two relays, each of which may hold them for two seconds.
constexpr Duration kOldReportTime = seconds(5);
constexpr Duration kMeanLifetime = milliseconds(250);
/// Means outside this range are not plausible.
constexpr double kMinPlausible = 0.01;
constexpr double kMaxPlausible = 100.0;
/// Estimates are limited to this range, so that a server that is fast beyond measure gets no more
/// than its slots can explain, and one that is slow is still measured now and then.
constexpr double kMinEstimate = 0.2;
constexpr double kMaxEstimate = 20.0;

} // namespace

void AddSums(ServiceTimeSums& aSums, const ServiceTimeSums& aMore)
{
  for (const auto& [server, more] : aMore) {
    ServiceTimeSum& sum = aSums[server];
    sum.samples += more.samples;
    sum.relativeTimes += more.relativeTimes;
  }
}

ServiceTimeSums SumsWithout(ServiceTimeSums aTotal, const ServiceTimeSums& aPart)
{
  for (const auto& [server, part] : aPart) {
    const auto it = aTotal.find(server);
    if (it == aTotal.end()) {
      continue;
    }
    it->second.samples -= std::min(it->second.samples, part.samples);
    it->second.relativeTimes -= part.relativeTimes;
    if (it->second.samples == 0) {
      aTotal.erase(it);
    }
  }
  return aTotal;
}

void ServerSpeeds::Put(std::uint32_t aNumber,
                       const std::string& aService,
                       Incarnation aIncarnation,
                       Instant aNow)
{
  const auto [it, isNew] = mServers.try_emplace(aNumber);
  Server& server = it->second;
  if (!isNew && server.service == aService && server.incarnation == aIncarnation) {
    return;
  }
  if (!isNew) {
    mServices[server.service].servers.erase(aNumber);
    mOwnSums.erase(aNumber);
    server = Server();
    server.startedAt = aNow;
  }
  server.service = aService;
  server.incarnation = aIncarnation;
  mServices[aService].servers.insert(aNumber);
}

void ServerSpeeds::Remove(std::uint32_t aNumber)
{
  const auto it = mServers.find(aNumber);
  if (it == mServers.end()) {
    return;
  }
  const auto service = mServices.find(it->second.service);
  service->second.servers.erase(aNumber);
  if (service->second.servers.empty()) {
    mServices.erase(service);
  }
  mOwnSums.erase(aNumber);
  mServers.erase(it);
}

double ServerSpeeds::SamplesOf(const Server& aServer, Instant aNow)
{
  const double age = InSeconds(aNow - aServer.updatedAt) / InSeconds(kHalfLife);
  return aServer.samples * std::exp2(-std::max(0.0, age));
}

void ServerSpeeds::AddTo(Server& aServer, const ServiceTimeSum& aSum, Instant aNow)
{
  const double decay =
    std::exp2(-std::max(0.0, InSeconds(aNow - aServer.updatedAt)) / InSeconds(kHalfLife));
  aServer.samples = aServer.samples * decay + aSum.samples;
  aServer.relativeTimes = aServer.relativeTimes * decay + aSum.relativeTimes;
  aServer.updatedAt = std::max(aServer.updatedAt, aNow);
}

double ServerSpeeds::UnscaledEstimate(const Server& aServer,
                                      double aServiceMean,
                                      Instant aNow) const
{
  const double samples = SamplesOf(aServer, aNow);
  const double mean = aServer.samples > 0.0 ? aServer.relativeTimes / aServer.samples : 0.0;
  return (samples * mean + kPriorSamples * aServiceMean) / (samples + kPriorSamples);
}

double ServerSpeeds::MeanOf(const std::string& aService, Instant aNow) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return 1.0;
  }
  Service& service = it->second;
  if (service.hasMean && aNow - service.meanAt < kMeanLifetime) {
    return service.mean;
  }
  double weights = 0.0;
  double sum = 0.0;
  for (const std::uint32_t number : service.servers) {
    const Server& server = mServers.at(number);
    const double samples = SamplesOf(server, aNow);
    if (samples > 0.0) {
      const double weight = samples / (samples + kPriorSamples);
      weights += weight;
      sum += weight * server.relativeTimes / server.samples;
    }
  }
  // One server of normal speed is added, so that the first samples do not define the scale.
  service.mean = (1.0 + sum) / (1.0 + weights);
  service.meanAt = aNow;
  service.hasMean = true;
  return service.mean;
}

void ServerSpeeds::OnSample(std::uint32_t aNumber, double aRelativeTime, Instant aNow)
{
  const auto it = mServers.find(aNumber);
  if (it == mServers.end()) {
    return;
  }
  Server& server = it->second;
  const double expected = UnscaledEstimate(server, MeanOf(server.service, aNow), aNow);
  const ServiceTimeSum sum{
    1, std::clamp(aRelativeTime, kMinSample * expected, kMaxSample * expected)
  };
  AddTo(server, sum, aNow);
  AddSums(mOwnSums, { { aNumber, sum } });
}

bool ServerSpeeds::Add(const ServiceTimeSums& aSums, Instant aNow)
{
  bool allPlausible = true;
  for (const auto& [number, sum] : aSums) {
    const auto it = mServers.find(number);
    if (it == mServers.end() || sum.samples == 0) {
      continue;
    }
    const double mean = sum.relativeTimes / sum.samples;
    if (!(mean >= kMinPlausible && mean <= kMaxPlausible)) {
      allPlausible = false;
      continue;
    }
    const bool mayBeOld =
      it->second.startedAt != Instant() && aNow - it->second.startedAt < kOldReportTime;
    if (!mayBeOld) {
      AddTo(it->second, sum, aNow);
    }
  }
  return allPlausible;
}

ServiceTimeSums ServerSpeeds::TakeOwnSums()
{
  ServiceTimeSums sums;
  sums.swap(mOwnSums);
  return sums;
}

double ServerSpeeds::RelativeServiceTimeOf(std::uint32_t aNumber, Instant aNow) const
{
  const auto it = mServers.find(aNumber);
  if (it == mServers.end()) {
    return 1.0;
  }
  const double mean = MeanOf(it->second.service, aNow);
  return std::clamp(UnscaledEstimate(it->second, mean, aNow) / mean, kMinEstimate, kMaxEstimate);
}

std::size_t ServerSpeeds::KnownServers(Instant aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mServers.begin(), mServers.end(), [aNow](const auto& aEntry) {
      return SamplesOf(aEntry.second, aNow) >= kKnownSamples;
    }));
}

} // namespace hawthornlug
