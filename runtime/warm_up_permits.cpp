#include "runtime/warm_up_permits.h"

#include "core/hashing.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// After its start a daemon issues no permits for this time.
constexpr Duration kSettleTime = seconds(2);
/// Shortest interval between two questions about one server.
constexpr Duration kQuestionInterval = milliseconds(60);
/// Daemons that have been silent for long drop out of the choice of an issuer this late.
constexpr Duration kIssuerRefreshInterval = seconds(1);

} // namespace

WarmUpPermits::WarmUpPermits(ServerSelector& aSelector, Mesh& aMesh, Instant aStartedAt)
  : mSelector(aSelector)
  , mMesh(aMesh)
  , mStartedAt(aStartedAt)
{
}

const std::string& WarmUpPermits::IssuerOf(const ServerEntry& aServer, bool aLeaving, Instant aNow)
{
  const bool current = mIssuersChosenFor == mMesh.ChangeCount() &&
                       mIssuersWhileLeaving == aLeaving &&
                       aNow - mIssuersChosenAt < kIssuerRefreshInterval;
  if (!current) {
    mIssuers.clear();
    mIssuersChosenFor = mMesh.ChangeCount();
    mIssuersWhileLeaving = aLeaving;
    mIssuersChosenAt = aNow;
  }
  const auto [it, isNew] = mIssuers.try_emplace(aServer.id);
  if (isNew) {
    it->second = ChooseIssuer(aServer, aLeaving, aNow);
  }
  return it->second;
}

std::string WarmUpPermits::ChooseIssuer(const ServerEntry& aServer,
                                        bool aLeaving,
                                        Instant aNow) const
{
  const std::vector<const MeshPeer*> peers = mMesh.KnownPeers(aNow);
  const bool domainHasDaemons = mMesh.Domain() == aServer.domain ||
                                std::any_of(peers.begin(), peers.end(), [&](const MeshPeer* aPeer) {
                                  return aPeer->domain == aServer.domain;
                                });
  const bool anyDomain = mSelector.IsKeyed(aServer.service) || !domainHasDaemons;
  std::string issuer;
  std::uint64_t highest = 0;
  const auto consider = [&](const std::string& aDaemon, const std::string& aDomain) {
    if (!anyDomain && aDomain != aServer.domain) {
      return;
    }
    const std::uint64_t weight = RendezvousWeight(aServer.id, aDaemon);
    if (issuer.empty() || weight > highest) {
      issuer = aDaemon;
      highest = weight;
    }
  };
  if (!aLeaving) {
    consider(mMesh.Self().id, mMesh.Domain());
  }
  for (const MeshPeer* it : peers) {
    if (!it->leaving) {
      consider(it->ref.id, it->domain);
    }
  }
  return issuer;
}

unsigned WarmUpPermits::Issue(const std::string& aServer, unsigned aWanted, Instant aNow)
{
  if (aNow - mStartedAt < kSettleTime) {
    return 0;
  }
  return mLimit.Take(aServer, aWanted, mSelector.WarmUpLimitOf(aServer), aNow);
}

bool WarmUpPermits::Tick(const std::map<std::string, unsigned>& aWaiting,
                         bool aLeaving,
                         Instant aNow)
{
  bool granted = false;
  for (const ServerEntry* server : mSelector.ColdServers(aNow)) {
    const bool keyed = mSelector.IsKeyed(server->service);
    const auto waiting = aWaiting.find(server->id);
    const unsigned wanted = keyed ? (waiting == aWaiting.end() ? 0 : waiting->second) : 1;
    if (wanted == 0 || mSelector.HasPermit(server->id, aNow)) {
      continue;
    }
    const std::string& issuer = IssuerOf(*server, aLeaving, aNow);
    if (issuer == mMesh.Self().id) {
      const unsigned n = Issue(server->id, wanted, aNow);
      mSelector.SetPermits(server->id, n, aNow + kPermitLifetime);
      granted = granted || n > 0;
    } else if (keyed && !issuer.empty()) {
      Ask(issuer, server->id, wanted, aNow);
    }
  }
  return granted;
}

void WarmUpPermits::Ask(const std::string& aIssuer,
                        const std::string& aServer,
                        unsigned aWanted,
                        Instant aNow)
{
  Instant& askedAt = mAskedAt[aServer];
  if (aNow - askedAt < kQuestionInterval) {
    return;
  }
  askedAt = aNow;
  wire::Envelope message;
  message.mutable_warm_up_question()->set_server(aServer);
  message.mutable_warm_up_question()->set_wanted(aWanted);
  message.mutable_warm_up_question()->set_asked_us(aNow.time_since_epoch().count());
  mMesh.Send(aIssuer, std::move(message));
}

void WarmUpPermits::OnQuestion(const std::string& aDaemon,
                               const wire::WarmUpQuestion& aQuestion,
                               Instant aNow)
{
  const unsigned granted = Issue(aQuestion.server(), aQuestion.wanted(), aNow);
  if (granted == 0) {
    return;
  }
  wire::Envelope message;
  message.mutable_warm_up_answer()->set_server(aQuestion.server());
  message.mutable_warm_up_answer()->set_granted(granted);
  message.mutable_warm_up_answer()->set_asked_us(aQuestion.asked_us());
  mMesh.Send(aDaemon, std::move(message));
}

bool WarmUpPermits::OnAnswer(const wire::WarmUpAnswer& aAnswer, Instant aNow)
{
  // The lifetime begins with the question, which was sent by this daemon's own clock: the issuer
  // counted the permits later than that.
  const Instant askedAt{ Duration(aAnswer.asked_us()) };
  if (askedAt > aNow || askedAt <= aNow - kPermitLifetime) {
    return false;
  }
  const Instant until = askedAt + kPermitLifetime;
  mSelector.SetPermits(aAnswer.server(), aAnswer.granted(), until);
  return true;
}

} // namespace hawthornlug
