/// @file
/// The actions that a CellMachine requests from its caller, and the results that it gets back.
#pragma once

#include "core/instant.h"
#include "ownership/cell_object.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hawthornlug {

/// Sequence number of the calls to one server under one token; a server rejects a call whose number
/// is not higher than that of the last call it accepted.
using CallNumber = std::uint64_t;

/// Read this cell's current object from the platform, bypassing the cache; answered by OnObject()
/// or OnReadFailed().
struct ReadCell
{};

/// Read another cell's current object, bypassing the cache; answered by OnOtherCell() with the same
/// `ownVersion`, or by OnOtherReadFailed().
struct ReadOtherCell
{
  std::string cell;
  /// Version of this cell's own object when the read was requested.
  Version ownVersion = 0;
};

/// Write this cell's object if its version is still the expected one; answered by OnWritten().
struct WriteCell
{
  /// Repeated in the answer.
  std::uint64_t id = 0;
  Version expected = 0;
  CellObject object;
};

/// Fence a server: it accepts the token, drops its grants and reports the epochs that it was
/// granted; answered by OnFenced().
struct FenceServer
{
  std::string server;
  FencingToken token = 0;
  CallNumber number = 0;
};

/// Renew a server's lease and change its grants; answered by OnGranted().
struct GrantServer
{
  std::string server;
  FencingToken token = 0;
  CallNumber number = 0;
  Incarnation incarnation = 0;
  /// End of the lease by the server's own clock.
  ServerInstant until = 0;
  std::map<ShardId, Epoch> add;
  std::set<ShardId> remove;
};

/// A change of a cell's attached daemon, of a server or of a shard's owner, for logs and history.
enum class CellEvent
{
  kTaken,           ///< This daemon attached itself to the cell.
  kSuperseded,      ///< Another daemon has attached itself to the cell.
  kHandedOver,      ///< The cell was handed over to another daemon as planned.
  kServerFenced,    ///< A server accepted the token.
  kServerLapsed,    ///< All grants of a server have expired.
  kServerRestarted, ///< A server has been restarted as a new incarnation.
  kShardServing,    ///< A shard's owner has acknowledged its grant.
  kShardMoved,      ///< The new owner of a planned move was written to the platform.
  kShardInherited,  ///< The standby was made owner before the platform was written.
  kShardRecovered,  ///< A lost owner was replaced by a write to the platform.
  kShardSent,       ///< A shard left for another cell.
  kShardReceived,   ///< A shard came from another cell.
  kMoveAbandoned,   ///< A planned move was abandoned before it was written to the platform.
};
inline constexpr EnumNames<13> kCellEventNames = {
  "taken",           "superseded",       "handed-over",   "server-fenced",
  "server-lapsed",   "server-restarted", "shard-serving", "shard-moved",
  "shard-inherited", "shard-recovered",  "shard-sent",    "shard-received",
  "move-abandoned"
};

/// Report an event in the log.
struct ReportCellEvent
{
  CellEvent event = CellEvent::kTaken;
  ShardId shard = 0;
  std::string server;
  Epoch epoch = 0;
};

using CellAction =
  std::variant<ReadCell, ReadOtherCell, WriteCell, FenceServer, GrantServer, ReportCellEvent>;

/// How a write of the cell's object ended.
enum class WriteOutcome
{
  kWritten,
  kConflict,
  kNotWritten, ///< The write failed and will not take effect.
  kUnknown,    ///< The write may have taken effect, or may still do so.
};
inline constexpr EnumNames<4> kWriteOutcomeNames = { "written",
                                                     "conflict",
                                                     "not-written",
                                                     "unknown" };

/// How a control call to a server ended.
enum class CallOutcome
{
  kAccepted,
  kNoAnswer,
  kSuperseded, ///< The server has accepted a higher token.
  kRestarted,  ///< The server is another incarnation than the one that the call was for.
};
inline constexpr EnumNames<4> kCallOutcomeNames = { "accepted",
                                                    "no-answer",
                                                    "superseded",
                                                    "restarted" };

/// A server's answer to FenceServer or GrantServer.
struct ServerReply
{
  CallOutcome outcome = CallOutcome::kNoAnswer;
  CallNumber number = 0;
  Incarnation incarnation = 0;
  /// The server's own clock when it answered.
  ServerInstant reading = 0;
  /// The highest epoch of each shard that this incarnation of the server was ever granted, whether
  /// or not the grant is still live; only in answers to FenceServer.
  std::map<ShardId, Epoch> grants;
  /// The server reports that it is about to shut down and must not be given shards.
  bool draining = false;

  /// Makes the reply for a call that got no readable answer.
  static ServerReply NoAnswer(CallNumber aNumber)
  {
    ServerReply reply;
    reply.number = aNumber;
    return reply;
  }
};

} // namespace hawthornlug
