/// @file
/// Heartbeats as messages between daemons.
#pragma once

#include "core/enum_names.h"
#include "proto/peer.pb.h"
#include "runtime/mesh_peer.h"

namespace hawthornlug {

/// Whether the sender of a heartbeat relies on the receiver to pass it on. The values are part of
/// the protocol between daemons.
enum class RelayUse : std::uint32_t
{
  kNone = 0,
  kFirstChoice = 1, ///< And to be told of other failure domains.
  kReserve = 2,
};
inline constexpr EnumNames<3> kRelayUseNames = { "none", "first-choice", "reserve" };

/// How a heartbeat's sender uses the receiver; not at all if its version has uses that this one
/// lacks.
RelayUse RelayUseOf(const wire::RouterBeat& aHeartbeat);

/// Sets the content of a heartbeat, but for what is added in some of them only.
void WriteContent(const MeshSelf& aSelf, wire::RouterBeat& aHeartbeat);

/// Copies what every heartbeat contains; returns whether that changes which roles the sender can
/// have.
bool CopyContent(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer);
/// Copies what is added to a heartbeat that introduces its sender.
void CopyIntroduction(const wire::RouterBeat& aHeartbeat, MeshPeer& aPeer);
/// Copies what only a heartbeat contains that comes from its sender directly.
void CopyDirectContent(const wire::RouterBeat& aHeartbeat, Instant aNow, MeshPeer& aPeer);

/// Number of the content that relays pass on. Two daemons compute the same number for the same
/// heartbeat; it changes with the content, but for how long the store has been silent.
std::uint32_t ContentNumberOf(const MeshPeer& aPeer);

/// A daemon's latest heartbeat, to be passed on.
wire::RelayedBeat MakeRelayedBeat(const MeshPeer& aPeer, Instant aNow);
/// Adds to a relay's heartbeat that it hears a daemon.
void AddHeard(const MeshPeer& aPeer, Instant aNow, wire::RouterBeat& aHeartbeat);
/// The age that AddHeard() and MakeRelayedBeat() have written.
Duration AgeFromUnits(std::uint32_t aUnits);

} // namespace hawthornlug
