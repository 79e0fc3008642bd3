/// @file
/// `hawthornlug serve`.
#pragma once

#include <string>
#include <vector>

namespace hawthornlug {

/// Exit codes of all commands.
inline constexpr int kExitDone = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;

/// Runs a daemon until it is told to stop; returns an exit code.
int RunServe(const std::vector<std::string>& aArgs);

} // namespace hawthornlug
