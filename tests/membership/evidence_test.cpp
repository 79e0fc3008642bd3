#include "membership/evidence.h"

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

/// How the daemon that is asked about was last heard of.
enum class Heard
{
  kNever,
  kAlive,
  kLaterRun,
  kLeft,
};

Membership MembersThat(Heard aHeard)
{
  Membership members(MakeMember({ "d1", 5 }), {});
  Member other = MakeMember(kOther);
  other.incarnation += aHeard == Heard::kLaterRun ? 1 : 0;
  other.status = aHeard == Heard::kLeft ? MemberStatus::kLeft : MemberStatus::kAlive;
  if (aHeard != Heard::kNever) {
    members.OnHeartbeat(kStart, other, {});
  }
  return members;
}

} // namespace

TEST_CASE("silence and a list that lags prove nothing")
{
  struct Row
  {
    const char* what;
    DaemonRef ref;
    Heard heard;
    bool domainLost;
    bool listed;
    /// When the list was read after the first question.
    Duration listReadAfter;
    GoneProof expected;
  };
  const auto row = GENERATE(values<Row>({
    { "this run itself", { "d1", 5 }, Heard::kNever, true, false, kLag, GoneProof::kNone },
    { "an earlier run here", { "d1", 4 }, Heard::kNever, false, true, kLag, GoneProof::kOwnHost },
    { "domain lost", kOther, Heard::kAlive, true, true, kLag, GoneProof::kDomainLost },
    { "a later run", kOther, Heard::kLaterRun, false, true, kLag, GoneProof::kLaterRun },
    { "listed and silent", kOther, Heard::kLeft, false, true, kLag, GoneProof::kNone },
    { "dropped", kOther, Heard::kLeft, false, false, kLag, GoneProof::kListDropped },
    { "dropped, never heard", kOther, Heard::kNever, false, false, kLag, GoneProof::kListDropped },
    { "not listed yet", kOther, Heard::kNever, false, false, seconds(29), GoneProof::kNone },
    { "heard, not listed", kOther, Heard::kAlive, false, false, kLag, GoneProof::kNone },
  }));
  INFO(row.what);
  const Membership members = MembersThat(row.heard);
  Evidence evidence(kLag);
  evidence.OnHosts(kStart, {});
  // A list that was read before the run was first asked about may be older than the run.
  const GoneProof atOnce = evidence.Judge(kStart, row.ref, members, row.domainLost);
  CHECK(atOnce != GoneProof::kListDropped);
  const Instant later = kStart + row.listReadAfter;
  evidence.OnHosts(later, row.listed ? std::set<std::string>{ "d2" } : std::set<std::string>{});
  const GoneProof proof = evidence.Judge(later, row.ref, members, row.domainLost);
  CHECK(NameOf(kGoneProofNames, proof) == NameOf(kGoneProofNames, row.expected));
}
