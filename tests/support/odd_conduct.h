/// @file
/// Odd ways in which a backend server treats requests, for stand-ins.
#pragma once

#include <string>
#include <vector>

namespace hawthornlug::test {

/// What an odd server does with a request.
enum class OddAction
{
  kRunAndAnswer, ///< Runs it and answers in an odd form.
  kRunAndReset,  ///< Runs it and resets the connection at once.
  kReset,        ///< Does not run it and resets the connection.
  kRefuse,       ///< Refuses it correctly, in one copy or more.
  kRefuseLate,   ///< Refuses it correctly, some time after it has arrived.
  kRefuseAndRun, ///< Refuses it correctly, and runs it if the same id comes again.
  kResetNew,     ///< Resets new connections as soon as they are accepted.
};

/// One odd way, with the form of its answers.
struct OddConduct
{
  std::string name;
  OddAction action = OddAction::kRunAndAnswer;
  int status = 503;
  bool hasId = true;
  bool hasSeal = true;
  /// Whether the answer names the server, and whether it states that the request has not run.
  bool namesSelf = false;
  bool states = false;
  /// Whether an interim answer before it, or a trailer, states that instead.
  bool interimStates = false;
  bool trailerStates = false;
  /// Another copy of the answer comes at once, or after a while.
  bool copyAtOnce = false;
  bool copyLater = false;
};

/// All odd ways.
const std::vector<OddConduct>& OddConducts();

/// The bytes of an answer in an odd form, to request @p aId, by server @p aServer.
std::string OddAnswer(const OddConduct& aConduct,
                      const std::string& aId,
                      const std::string& aServer);

} // namespace hawthornlug::test
