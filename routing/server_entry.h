/// @file
/// Entry of a backend server in the platform's registry.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/instant.h"

#include <string>

namespace hawthornlug {

/// Whether a server accepts new requests.
enum class ServerState
{
  kReady,
  kDraining,
};
inline constexpr EnumNames<2> kServerStateNames = { "ready", "draining" };

/// A registered backend server.
struct ServerEntry
{
  std::string id;
  std::string service;
  /// IP address and port, such as "1.2.3.4:80".
  std::string address;
  /// The failure domain in which it runs.
  std::string domain;
  /// Requests that it can run at the same time.
  unsigned slots = 1;
  ServerState state = ServerState::kReady;
  /// Time for which the server was still going to be cold when it wrote the entry.
  Duration warmUpLeft = Duration::zero();
  /// Differs between two processes with the same id.
  Incarnation incarnation = 0;
};

} // namespace hawthornlug
