/// @file
/// The operators' commands: check, apply, status, explain and drain.
#pragma once

#include <string>
#include <vector>

namespace hawthornlug {

/// Each takes the words after the program's name and returns an exit code.
int RunCheck(const std::vector<std::string>& aArgs);
int RunApply(const std::vector<std::string>& aArgs);
int RunStatus(const std::vector<std::string>& aArgs);
int RunExplain(const std::vector<std::string>& aArgs);
int RunDrain(const std::vector<std::string>& aArgs);

} // namespace hawthornlug
