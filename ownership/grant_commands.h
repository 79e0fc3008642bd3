/// @file
/// Commands that grant key ranges to backend servers and release them, and their results.
#pragma once

#include "core/enum_names.h"
#include "core/instant.h"
#include "ownership/key_range.h"

#include <string>

namespace hawthornlug {

/// Result of a command to grant or release keys.
enum class CommandResult
{
  kDone,
  kSuperseded,        ///< Refused: the server has seen a higher fencing token.
  kOtherServer,       ///< Another server uses the address. Nothing was done.
  kRejected,          ///< The server could not parse the command.
  kNotSent,           ///< The command was not sent.
  kConnectionRefused, ///< The connection was refused: no process listens at the address.
  kNoAnswer, ///< No answer in time. The server may have executed the command or may do so later.
};
inline constexpr EnumNames<7> kCommandResultNames = { "done",     "superseded", "other-server",
                                                      "rejected", "not-sent",   "refused-port",
                                                      "no-answer" };

/// Command that grants a range to a server, or renews the grant.
struct GrantCommand
{
  std::string address;
  /// Only this server may execute the command: another one may use its address by now.
  ServerRef server;
  KeyRange range;
  FencingToken token = 0;
  /// How long the grant is valid, counted by the server's clock from its arrival.
  Duration hold = Duration::zero();
  /// The server has not accepted the token yet: its answer is taken as proof that it refuses lower
  /// ones, so it must belong to this command for certain.
  bool provesToken = false;
  /// Handover data that the previous owner returned when it released the keys; may be empty.
  std::string handover;
};

/// Command that makes a server stop serving a range and give it up.
struct ReleaseCommand
{
  std::string address;
  ServerRef server;
  KeyRange range;
  FencingToken token = 0;
};

/// Outcome of a command.
struct CommandOutcome
{
  CommandResult result = CommandResult::kNotSent;
  /// After a release: data for the next owner; may be empty.
  std::string handover;
  /// The answer states that the server is about to stop.
  bool serverLeaving = false;
};

} // namespace hawthornlug
