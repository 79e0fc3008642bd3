#include "membership/membership.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace hawthornlug;

namespace {

Member MakeMember(const std::string& aId, const std::string& aDomain, Incarnation aIncarnation = 1)
{
  Member member;
  member.id = aId;
  member.domain = aDomain;
  member.incarnation = aIncarnation;
  member.peerEndpoint = "tcp://" + aId;
  return member;
}

/// Several daemons' membership joined by a network that the test cuts.
class Net
{
public:
  explicit Net(const std::vector<Member>& aMembers)
  {
    for (const Member& it : aMembers) {
      mNodes.emplace(it.id, Membership(it, {}));
    }
    for (auto& [id, node] : mNodes) {
      for (const Member& it : aMembers) {
        Member learned = it;
        learned.incarnation = 0;
        node.Learn(mNow, learned);
      }
    }
  }

  void Run(Duration aFor)
  {
    for (const Instant end = mNow + aFor; mNow < end; mNow += milliseconds(50)) {
      for (auto& [id, node] : mNodes) {
        if (mDead.count(id) != 0) {
          continue;
        }
        for (const HeartbeatOut& it : node.OnTick(mNow)) {
          const bool cut = mCut.count({ id, it.to.id }) != 0 || mDead.count(it.to.id) != 0;
          if (!cut && mNodes.count(it.to.id) != 0) {
            ++mSent;
            mNodes.at(it.to.id).OnHeartbeat(mNow, node.Self(), it.heartbeat);
          }
        }
      }
    }
  }

  void Kill(const std::string& aId) { mDead.insert(aId); }
  void Restart(const Member& aMember)
  {
    mDead.erase(aMember.id);
    Membership fresh(aMember, {});
    for (const auto& [id, node] : mNodes) {
      Member learned = node.Self();
      learned.incarnation = 0;
      fresh.Learn(mNow, learned);
    }
    mNodes.insert_or_assign(aMember.id, fresh);
  }
  void Cut(const std::string& aFrom, const std::string& aTo) { mCut.insert({ aFrom, aTo }); }
  void Heal() { mCut.clear(); }
  Membership& Of(const std::string& aId) { return mNodes.at(aId); }
  Instant Now() const { return mNow; }
  std::size_t Sent() const { return mSent; }

private:
  Instant mNow{ seconds(1) };
  std::map<std::string, Membership> mNodes;
  std::set<std::string> mDead;
  std::set<std::pair<std::string, std::string>> mCut;
  std::size_t mSent = 0;
};

std::vector<Member> TwoDomains()
{
  return { MakeMember("n1", "north"),
           MakeMember("n2", "north"),
           MakeMember("n3", "north"),
           MakeMember("s1", "south"),
           MakeMember("s2", "south") };
}

} // namespace

TEST_CASE("daemons learn of each other's runs", "[membership]")
{
  Net net(TwoDomains());
  net.Run(seconds(2));
  const std::string id = GENERATE("n1", "n2", "n3", "s1", "s2");
  for (const Member& it : TwoDomains()) {
    CHECK(net.Of(id).IsLive(it.Ref()));
  }
  CHECK_FALSE(net.Of(id).IsCutOff(net.Now(), "south"));
}

TEST_CASE("a lost daemon is gone for all within a second", "[membership]")
{
  Net net(TwoDomains());
  net.Run(seconds(2));
  net.Kill("n2");
  net.Run(milliseconds(1000));
  const std::string id = GENERATE("n1", "n3", "s1", "s2");
  CHECK_FALSE(net.Of(id).IsLive({ "n2", 1 }));
}

TEST_CASE("a daemon that starts again is another run", "[membership]")
{
  Net net(TwoDomains());
  net.Run(seconds(2));
  net.Kill("n2");
  net.Run(seconds(1));
  net.Restart(MakeMember("n2", "north", 2));
  net.Run(seconds(2));
  const std::string id = GENERATE("n1", "n3", "s1");
  CHECK(net.Of(id).IsLive({ "n2", 2 }));
  CHECK_FALSE(net.Of(id).IsLive({ "n2", 1 }));
}

TEST_CASE("a daemon that is wrongly believed gone proves it wrong", "[membership]")
{
  Net net({ MakeMember("n1", "north"), MakeMember("n2", "north") });
  net.Run(seconds(1));
  net.Cut("n2", "n1");
  net.Run(seconds(1));
  CHECK_FALSE(net.Of("n1").IsLive({ "n2", 1 }));
  net.Heal();
  net.Run(seconds(1));
  CHECK(net.Of("n1").IsLive({ "n2", 1 }));
}

TEST_CASE("a failure domain that is cut off is noticed and comes back", "[membership]")
{
  Net net(TwoDomains());
  net.Run(seconds(2));
  for (const std::string n : { "n1", "n2", "n3" }) {
    for (const std::string s : { "s1", "s2" }) {
      net.Cut(n, s);
      net.Cut(s, n);
    }
  }
  net.Run(seconds(3));
  CHECK(net.Of("n1").IsCutOff(net.Now(), "south"));
  CHECK(net.Of("s2").IsCutOff(net.Now(), "north"));
  // Silence across failure domains says nothing about the daemons there.
  CHECK(net.Of("n1").IsLive({ "s1", 1 }));
  net.Heal();
  net.Run(seconds(1));
  CHECK_FALSE(net.Of("n3").IsCutOff(net.Now(), "south"));
}

TEST_CASE("heartbeats of a daemon do not grow with the fleet", "[membership]")
{
  const int daemons = GENERATE(8, 40);
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(daemons));
  for (int n = 0; n < daemons; ++n) {
    members.push_back(MakeMember("n" + std::to_string(100 + n), "north"));
  }
  Net net(members);
  net.Run(seconds(2));
  const std::size_t before = net.Sent();
  net.Run(seconds(1));
  CHECK(net.Sent() - before <= static_cast<std::size_t>(daemons) * 3 * 11);
}
