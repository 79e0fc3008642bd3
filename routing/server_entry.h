/// @file
/// What the platform's registry says of a backend server.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/instant.h"

#include <string>

namespace hawthornlug {

enum class ServerState
{
  kReady,
  kDraining,
};
inline constexpr EnumNames<2> kServerStateNames = { "ready", "draining" };

/// One backend server, as registered.
struct ServerEntry
{
  std::string id;
  std::string service;
  /// "1.2.3.4:80".
  std::string address;
  /// The failure domain in which it runs.
  std::string domain;
  /// Requests that it runs at the same time.
  unsigned slots = 1;
  ServerState state = ServerState::kReady;
  /// How much longer it stayed cold when it wrote the entry.
  Duration warmUpLeft = Duration::zero();
  /// Differs between two runs under the same id.
  Incarnation incarnation = 0;
};

} // namespace hawthornlug
