#include "runtime/heartbeat_messages.h"

#include "core/hashing.h"
#include "runtime/store_follower.h"

#include <algorithm>

namespace hawthornlug {

namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr Duration kMaxStoreAge = seconds(600);
constexpr Duration kAgeUnit = milliseconds(10);

std::uint32_t ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(Millis(aDuration));
}

/// Rounded up, so that a heartbeat does not get younger by being passed on again and again.
std::uint32_t AgeInUnits(const MeshPeer& aPeer, Instant aNow)
{
  const Duration age = std::max(aNow - aPeer.heartbeatAt, Duration::zero());
  return static_cast<std::uint32_t>((age + kAgeUnit - Duration(1)) / kAgeUnit);
}

void WriteClaims(const std::map<std::string, std::uint64_t>& aClaims, wire::RouterBeat& aHeartbeat)
{
  for (const auto& [service, term] : aClaims) {
    wire::RangeClaim* const claim = aHeartbeat.add_claims();
    claim->set_service(service);
    claim->set_term(term);
  }
}

} // namespace

RelayUse RelayUseOf(const wire::RouterBeat& aHeartbeat)
{
  return aHeartbeat.relay_use() < kRelayUseNames.size()
           ? static_cast<RelayUse>(aHeartbeat.relay_use())
           : RelayUse::kNone;
}

void WriteContent(const MeshSelf& aSelf, wire::RouterBeat& aHeartbeat)
{
  for (const StoreRevision& it : aSelf.mirrorRevisions) {
    aHeartbeat.add_at(it.Number());
    aHeartbeat.add_at_eras(it.Era());
  }
  for (const StoreRevision& it : aSelf.mirrorChanges) {
    aHeartbeat.add_changed_at(it.Number());
  }
  aHeartbeat.set_store_era(aSelf.storeEra);
  aHeartbeat.set_store_age_ms(ToMilliseconds(std::min(aSelf.storeAge, kMaxStoreAge)));
  aHeartbeat.set_leaving(aSelf.leaving);
  aHeartbeat.set_configuration_kb(
    static_cast<std::uint32_t>(aSelf.configurationBytes / kBytesPerKilobyte));
  WriteClaims(aSelf.claims, aHeartbeat);
  for (const auto& [service, table] : aSelf.tables) {
    wire::RangeClaim* const claim = aHeartbeat.add_tables();
    claim->set_service(service);
    claim->set_term(table.first);
    claim->set_version(table.second);
  }
}

bool CopyContent(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer)
{
  const Duration storeAge = milliseconds(aHeartbeat.store_age_ms());
  const bool eligibilityChanges =
    aPeer.leaving != aHeartbeat.leaving() ||
    StoreFollower::IsReliable(aPeer.storeAge) != StoreFollower::IsReliable(storeAge);
  aPeer.sequence = aHeartbeat.sequence();
  aPeer.storeAge = storeAge;
  aPeer.storeEra = aHeartbeat.store_era();
  aPeer.leaving = aHeartbeat.leaving();
  aPeer.claims.clear();
  for (const wire::RangeClaim& it : aHeartbeat.claims()) {
    aPeer.claims[it.service()] = it.term();
  }
  return eligibilityChanges;
}

void CopyIntroduction(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer)
{
  aPeer.domain = aHeartbeat.domain();
  aPeer.endpoint = aHeartbeat.endpoint();
  aPeer.power = aHeartbeat.power();
  aPeer.canRelay = aHeartbeat.can_relay();
}

void CopyDirectContent(const wire::RouterBeat& aHeartbeat, Instant aNow, MeshPeer& aPeer)
{
  aPeer.mirrorRevisions.clear();
  aPeer.mirrorChanges.clear();
  for (int n = 0; n < aHeartbeat.at_size(); ++n) {
    // Daemons of earlier versions state no eras.
    const StoreEra era = n < aHeartbeat.at_eras_size() ? aHeartbeat.at_eras(n) : 0;
    aPeer.mirrorRevisions.emplace_back(aHeartbeat.at(n), era);
    if (n < aHeartbeat.changed_at_size()) {
      aPeer.mirrorChanges.emplace_back(aHeartbeat.changed_at(n), era);
    }
  }
  aPeer.configurationBytes = aHeartbeat.configuration_kb() * kBytesPerKilobyte;
  aPeer.foreignInterval = milliseconds(aHeartbeat.foreign_interval_ms());
  aPeer.usedNoRelayAt = aHeartbeat.direct() ? aNow : Instant();
}

std::uint32_t ContentNumberOf(const MeshPeer& aPeer)
{
  constexpr char kSeparator = '\n';
  std::string text = aPeer.ref.id + kSeparator + std::to_string(aPeer.ref.incarnation) +
                     kSeparator + aPeer.domain + kSeparator + aPeer.endpoint + kSeparator +
                     std::to_string(aPeer.power) + kSeparator;
  text += aPeer.canRelay ? 'r' : '-';
  text += aPeer.leaving ? 'l' : '-';
  text += aPeer.storeAge > Duration::zero() ? 'w' : '-';
  text += StoreFollower::IsReliable(aPeer.storeAge) ? 's' : '-';
  text += std::to_string(aPeer.storeEra);
  for (const auto& [service, term] : aPeer.claims) {
    text += kSeparator + service + kSeparator + std::to_string(term);
  }
  return static_cast<std::uint32_t>(HashOf(text));
}

wire::RelayedBeat MakeRelayedBeat(const MeshPeer& aPeer, Instant aNow)
{
  wire::RelayedBeat relayed;
  relayed.mutable_from()->set_id(aPeer.ref.id);
  relayed.mutable_from()->set_incarnation(aPeer.ref.incarnation);
  relayed.set_age(AgeInUnits(aPeer, aNow));
  wire::RouterBeat& heartbeat = *relayed.mutable_beat();
  heartbeat.set_sequence(aPeer.sequence);
  heartbeat.set_domain(aPeer.domain);
  heartbeat.set_endpoint(aPeer.endpoint);
  heartbeat.set_power(aPeer.power);
  heartbeat.set_can_relay(aPeer.canRelay);
  heartbeat.set_store_age_ms(ToMilliseconds(aPeer.storeAge));
  heartbeat.set_store_era(aPeer.storeEra);
  heartbeat.set_leaving(aPeer.leaving);
  WriteClaims(aPeer.claims, heartbeat);
  return relayed;
}

void AddHeard(const MeshPeer& aPeer, Instant aNow, wire::RouterBeat& aHeartbeat)
{
  aHeartbeat.add_heard(aPeer.contentNumber);
  aHeartbeat.add_heard_ages(AgeInUnits(aPeer, aNow));
}

Duration AgeFromUnits(std::uint32_t aUnits)
{
  return kAgeUnit * std::min<std::uint32_t>(aUnits, kMaxStoreAge / kAgeUnit);
}

} // namespace hawthornlug
