/// @file
/// What a CellMachine asks of the world around it, and what the world answers.
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

/// Orders calls to one server under one token; a server refuses a number it has passed.
using CallNumber = std::uint64_t;

/// Read this cell's object afresh from the platform; answered by OnObject().
struct ReadCell
{};

/// Read another cell's object afresh; answered by OnOtherCell() with the same version.
struct ReadOtherCell
{
  std::string cell;
  /// Version of this cell's own object when the question was asked.
  Version ownVersion = 0;
};

/// Write this cell's object if its version is still the expected one; answered by OnWritten().
struct WriteCell
{
  /// Named again in the answer.
  std::uint64_t id = 0;
  Version expected = 0;
  CellObject object;
};

/// Present the token to a server, which drops its grants and reports epochs; answered by
/// OnFenced().
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
  /// End of the lease in the server's own clock.
  ServerInstant until = 0;
  std::map<ShardId, Epoch> add;
  std::set<ShardId> remove;
};

/// Why a shard changed its owner or a cell its daemon.
enum class CellEvent
{
  kTaken,           ///< This daemon attached itself to the cell.
  kSuperseded,      ///< Another daemon has the cell now.
  kHandedOver,      ///< The cell was passed on in order.
  kServerFenced,    ///< A server accepted the token.
  kServerLapsed,    ///< All grants of a server are certainly over.
  kServerRestarted, ///< A server runs in a new incarnation.
  kShardServing,    ///< A shard's owner holds its grant.
  kShardMoved,      ///< A planned move was written down.
  kShardInherited,  ///< The heir was made owner from memory.
  kShardRecovered,  ///< A lost owner was replaced through the platform.
  kShardSent,       ///< A shard left for another cell.
  kShardReceived,   ///< A shard came from another cell.
  kMoveAbandoned,   ///< A planned move was given up before it was written.
};
inline constexpr EnumNames<13> kCellEventNames = {
  "taken",           "superseded",       "handed-over",   "server-fenced",
  "server-lapsed",   "server-restarted", "shard-serving", "shard-moved",
  "shard-inherited", "shard-recovered",  "shard-sent",    "shard-received",
  "move-abandoned"
};

/// Something worth a log line.
struct CellNote
{
  CellEvent event = CellEvent::kTaken;
  ShardId shard = 0;
  std::string server;
  Epoch epoch = 0;
};

using CellAction =
  std::variant<ReadCell, ReadOtherCell, WriteCell, FenceServer, GrantServer, CellNote>;

/// How a write of the cell's object ended.
enum class WriteOutcome
{
  kWritten,
  kConflict,
  kNotWritten, ///< For certain not written.
  kUnknown,    ///< It may still take effect.
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
  kRestarted,  ///< The server runs in another incarnation than the call names.
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
  /// The server's clock while it answered.
  ServerInstant reading = 0;
  /// The highest epoch of each shard that this run of the server was ever granted, whether the
  /// grant still lives or not; only in answers to FenceServer.
  std::map<ShardId, Epoch> grants;
  /// The server says that it is about to leave and wants no shards.
  bool draining = false;

  /// No reply came to the call, or none that could be read.
  static ServerReply Lost(CallNumber aNumber)
  {
    ServerReply reply;
    reply.number = aNumber;
    return reply;
  }
};

} // namespace hawthornlug
