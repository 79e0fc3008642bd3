/// @file
/// Permits to send requests to servers that are warming up.
#pragma once

#include "limits/warm_up_limit.h"
#include "routing/server_selector.h"
#include "runtime/mesh.h"

#include <map>
#include <string>

namespace hawthornlug {

/// Obtains this daemon's permits, and issues those of the servers that it is the issuer for. Each
/// cold server has one issuer, so the limit holds for any number of daemons. It is chosen among the
/// daemons of the server's failure domain, or for a keyed service among all, by rendezvous weight.
/// Silent daemons stay in the choice: one that is cut off from the others must not issue for itself
/// what the others issue too. Only the issuer sends to a server of a service without keys; requests
/// for the keys of a cold owner come to all daemons, which ask the issuer.
class WarmUpPermits
{
public:
  WarmUpPermits(ServerSelector& aSelector, Mesh& aMesh, Instant aStartedAt);

  /// Renews the permits of this daemon; to be called every few milliseconds. @p aWaiting: requests
  /// that wait for a cold owner, by server. Returns whether there are new permits.
  bool Tick(const std::map<std::string, unsigned>& aWaiting, bool aLeaving, Instant aNow);
  /// Answers another daemon's question for permits.
  void OnQuestion(const std::string& aDaemon, const wire::WarmUpQuestion& aQuestion, Instant aNow);
  /// Takes the permits that the issuer has granted. Returns whether they can be used.
  bool OnAnswer(const wire::WarmUpAnswer& aAnswer, Instant aNow);

private:
  /// Id of the issuer; empty if there is none.
  const std::string& IssuerOf(const ServerEntry& aServer, bool aLeaving, Instant aNow);
  std::string ChooseIssuer(const ServerEntry& aServer, bool aLeaving, Instant aNow) const;
  /// Permits for a server from this daemon's own limit; none shortly after the start, when it does
  /// not know the other daemons nor what its previous run has granted.
  unsigned Issue(const std::string& aServer, unsigned aWanted, Instant aNow);
  /// Asks the issuer for permits, unless a question to it is unanswered.
  void Ask(const std::string& aIssuer, const std::string& aServer, unsigned aWanted, Instant aNow);

  ServerSelector& mSelector;
  Mesh& mMesh;
  Instant mStartedAt;
  WarmUpLimit mLimit;
  /// The issuers by server, and of which daemons and when they were chosen.
  std::map<std::string, std::string> mIssuers;
  std::uint64_t mIssuersChosenFor = 0;
  bool mIssuersWhileLeaving = false;
  Instant mIssuersChosenAt;
  /// When the permits of a server were last asked for.
  std::map<std::string, Instant> mAskedAt;
};

} // namespace hawthornlug
