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

/// Memberships of several daemons, connected by a simulated network whose links a test can block.
class SimulatedNetwork
{
public:
  explicit SimulatedNetwork(const std::vector<Member>& aMembers)
  {
    for (const Member& it : aMembers) {
      mNodes.emplace(it.id, Membership(it, {}));
    }
    for (auto& [id, node] : mNodes) {
      for (const Member& it : aMembers) {
        Member known = it;
        known.incarnation = 0;
        node.Learn(mNow, known);
      }
    }
  }

  void Run(Duration aDuration)
  {
    for (const Instant end = mNow + aDuration; mNow < end; mNow += milliseconds(50)) {
      for (auto& [id, node] : mNodes) {
        if (mStopped.count(id) != 0) {
          continue;
        }
        for (const OutgoingHeartbeat& it : node.OnTick(mNow)) {
          const bool blocked =
            mBlockedLinks.count({ id, it.to.id }) != 0 || mStopped.count(it.to.id) != 0;
          if (!blocked && mNodes.count(it.to.id) != 0) {
            ++mSentCount;
            mNodes.at(it.to.id).OnHeartbeat(mNow, node.Self(), it.heartbeat);
          }
        }
      }
    }
  }

  void Stop(const std::string& aId) { mStopped.insert(aId); }
  void Restart(const Member& aMember)
  {
    mStopped.erase(aMember.id);
    Membership restarted(aMember, {});
    for (const auto& [id, node] : mNodes) {
      Member known = node.Self();
      known.incarnation = 0;
      restarted.Learn(mNow, known);
    }
    mNodes.insert_or_assign(aMember.id, restarted);
  }
  void BlockLink(const std::string& aFrom, const std::string& aTo)
  {
    mBlockedLinks.insert({ aFrom, aTo });
  }
  void UnblockLinks() { mBlockedLinks.clear(); }
  Membership& Node(const std::string& aId) { return mNodes.at(aId); }
  Instant Now() const { return mNow; }
  std::size_t SentCount() const { return mSentCount; }

private:
  Instant mNow{ seconds(1) };
  std::map<std::string, Membership> mNodes;
  std::set<std::string> mStopped;
  std::set<std::pair<std::string, std::string>> mBlockedLinks;
  std::size_t mSentCount = 0;
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

TEST_CASE("daemons learn each other's incarnations", "[membership]")
{
  SimulatedNetwork network(TwoDomains());
  network.Run(seconds(2));
  const std::string id = GENERATE("n1", "n2", "n3", "s1", "s2");
  for (const Member& it : TwoDomains()) {
    CHECK(network.Node(id).IsLive(it.Ref()));
  }
  CHECK_FALSE(network.Node(id).IsIsolated(network.Now(), "south"));
}

TEST_CASE("all daemons believe a stopped daemon gone within a second", "[membership]")
{
  SimulatedNetwork network(TwoDomains());
  network.Run(seconds(2));
  network.Stop("n2");
  network.Run(milliseconds(1000));
  const std::string id = GENERATE("n1", "n3", "s1", "s2");
  CHECK_FALSE(network.Node(id).IsLive({ "n2", 1 }));
}

TEST_CASE("a restarted daemon is another incarnation", "[membership]")
{
  SimulatedNetwork network(TwoDomains());
  network.Run(seconds(2));
  network.Stop("n2");
  network.Run(seconds(1));
  network.Restart(MakeMember("n2", "north", 2));
  network.Run(seconds(2));
  const std::string id = GENERATE("n1", "n3", "s1");
  CHECK(network.Node(id).IsLive({ "n2", 2 }));
  CHECK_FALSE(network.Node(id).IsLive({ "n2", 1 }));
}

TEST_CASE("a daemon that is wrongly believed gone corrects this", "[membership]")
{
  SimulatedNetwork network({ MakeMember("n1", "north"), MakeMember("n2", "north") });
  network.Run(seconds(1));
  network.BlockLink("n2", "n1");
  network.Run(seconds(1));
  CHECK_FALSE(network.Node("n1").IsLive({ "n2", 1 }));
  network.UnblockLinks();
  network.Run(seconds(1));
  CHECK(network.Node("n1").IsLive({ "n2", 1 }));
}

TEST_CASE("an isolated failure domain is noticed, and so is its return", "[membership]")
{
  SimulatedNetwork network(TwoDomains());
  network.Run(seconds(2));
  for (const std::string n : { "n1", "n2", "n3" }) {
    for (const std::string s : { "s1", "s2" }) {
      network.BlockLink(n, s);
      network.BlockLink(s, n);
    }
  }
  network.Run(seconds(3));
  CHECK(network.Node("n1").IsIsolated(network.Now(), "south"));
  CHECK(network.Node("s2").IsIsolated(network.Now(), "north"));
  // Missing heartbeats from another failure domain do not mean that its daemons have stopped.
  CHECK(network.Node("n1").IsLive({ "s1", 1 }));
  network.UnblockLinks();
  network.Run(seconds(1));
  CHECK_FALSE(network.Node("n3").IsIsolated(network.Now(), "south"));
}

TEST_CASE("the number of heartbeats per daemon does not grow with the number of daemons",
          "[membership]")
{
  const int daemons = GENERATE(8, 40);
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(daemons));
  for (int n = 0; n < daemons; ++n) {
    members.push_back(MakeMember("n" + std::to_string(100 + n), "north"));
  }
  SimulatedNetwork network(members);
  network.Run(seconds(2));
  const std::size_t before = network.SentCount();
  network.Run(seconds(1));
  CHECK(network.SentCount() - before <= static_cast<std::size_t>(daemons) * 3 * 11);
}
