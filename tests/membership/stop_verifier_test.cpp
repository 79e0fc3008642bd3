#include "membership/stop_verifier.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr Duration kLag = seconds(30);
const Instant kStart{ seconds(100) };
const DaemonRef kOther{ "d2", 7 };

Member MakeMember(const DaemonRef& aRef)
{
  Member member;
  member.id = aRef.id;
  member.incarnation = aRef.incarnation;
  member.domain = "north";
  return member;
}

/// What the last heartbeat from the daemon in question reported.
enum class Seen
{
  kNever,
  kAlive,
  kLater,
  kLeft,
};

Membership MembershipAfter(Seen aLastSeen)
{
  Membership members(MakeMember({ "d1", 5 }), {});
  Member other = MakeMember(kOther);
  other.incarnation += aLastSeen == Seen::kLater ? 1 : 0;
  other.status = aLastSeen == Seen::kLeft ? MemberStatus::kLeft : MemberStatus::kAlive;
  if (aLastSeen != Seen::kNever) {
    members.OnHeartbeat(kStart, other, {});
  }
  return members;
}

} // namespace

TEST_CASE("missing heartbeats or an outdated host list do not prove that a daemon has stopped")
{
  struct Row
  {
    const char* description;
    DaemonRef ref;
    Seen lastSeen;
    bool domainLost;
    bool listed;
    /// Time from the first query to the reading of the list.
    Duration listReadAfter;
    StopProof expected;
  };
  const auto row = GENERATE(values<Row>({
    { "this incarnation itself", { "d1", 5 }, Seen::kNever, true, false, kLag, StopProof::kNone },
    { "an earlier one here", { "d1", 4 }, Seen::kNever, false, true, kLag, StopProof::kOwnHost },
    { "domain lost", kOther, Seen::kAlive, true, true, kLag, StopProof::kDomainLost },
    { "a later one", kOther, Seen::kLater, false, true, kLag, StopProof::kLaterIncarnation },
    { "listed, but left", kOther, Seen::kLeft, false, true, kLag, StopProof::kNone },
    { "dropped", kOther, Seen::kLeft, false, false, kLag, StopProof::kListDropped },
    { "dropped, never seen", kOther, Seen::kNever, false, false, kLag, StopProof::kListDropped },
    { "not listed yet", kOther, Seen::kNever, false, false, seconds(29), StopProof::kNone },
    { "live, not listed", kOther, Seen::kAlive, false, false, kLag, StopProof::kNone },
  }));
  INFO(row.description);
  const Membership members = MembershipAfter(row.lastSeen);
  StopVerifier verifier(kLag);
  verifier.OnHostList(kStart, {});
  // A list that was read before the first query may be older than the incarnation.
  const StopProof atOnce = verifier.FindProof(kStart, row.ref, members, row.domainLost);
  CHECK(atOnce != StopProof::kListDropped);
  const Instant later = kStart + row.listReadAfter;
  verifier.OnHostList(later, row.listed ? std::set<std::string>{ "d2" } : std::set<std::string>{});
  const StopProof proof = verifier.FindProof(later, row.ref, members, row.domainLost);
  CHECK(NameOf(kStopProofNames, proof) == NameOf(kStopProofNames, row.expected));
}
