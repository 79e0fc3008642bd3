/// @file
/// The troubles that the soak plays: their kinds, and those of single servers.
#pragma once

#include "tests/support/platform_fleet.h"

#include <array>

namespace hawthornlug::test {

/// A trouble of one server, from one action to another.
struct ServerTrouble
{
  const char* name;
  unsigned fromMs;
  unsigned toMs;
  void (*begin)(StandInServer&);
  void (*end)(StandInServer&);
};

inline void Ready(StandInServer& aServer)
{
  aServer.Register("ready");
}

/// A restart in place: the server registers when the trouble ends.
inline constexpr std::array<ServerTrouble, 6> kServerTroubles = {
  { { "restart", 0, 2000, [](StandInServer& aServer) { aServer.Restart(); }, Ready },
    { "restart", 0, 2000, [](StandInServer& aServer) { aServer.Restart(); }, Ready },
    { "drain", 1000, 6000, [](StandInServer& aServer) { aServer.Register("draining"); }, Ready },
    { "silent",
      1000,
      6000,
      [](StandInServer& aServer) { aServer.SetSilent(true); },
      [](StandInServer& aServer) { aServer.SetSilent(false); } },
    { "restart-with-waiting",
      200,
      2500,
      [](StandInServer& aServer) { aServer.SetSilent(true); },
      [](StandInServer& aServer) {
        aServer.Restart();
        aServer.SetSilent(false);
        Ready(aServer);
      } },
    { "twice",
      0,
      0,
      [](StandInServer& aServer) { aServer.AnswerTwice(); },
      [](StandInServer&) {} } }
};

/// Kinds of troubles; one that stands twice is played twice as often.
enum class TroubleKind
{
  kSignal,
  kServer,
  kOddServers,
  kOutage,
  kEntry,
  kGranter,
  kStorm,
};
inline constexpr std::array<TroubleKind, 24> kTroubleKinds = {
  TroubleKind::kSignal,     TroubleKind::kSignal,     TroubleKind::kSignal,
  TroubleKind::kSignal,     TroubleKind::kSignal,     TroubleKind::kServer,
  TroubleKind::kServer,     TroubleKind::kServer,     TroubleKind::kServer,
  TroubleKind::kServer,     TroubleKind::kOddServers, TroubleKind::kOddServers,
  TroubleKind::kOddServers, TroubleKind::kOddServers, TroubleKind::kOddServers,
  TroubleKind::kOddServers, TroubleKind::kOddServers, TroubleKind::kOddServers,
  TroubleKind::kOutage,     TroubleKind::kEntry,      TroubleKind::kGranter,
  TroubleKind::kStorm,      TroubleKind::kStorm,      TroubleKind::kStorm
};
/// The kinds without the storms, which are the last ones.
inline constexpr std::size_t kKindsWithoutStorms = 21;
} // namespace hawthornlug::test
