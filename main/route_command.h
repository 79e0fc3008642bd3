/// @file
/// `hawthornlug route`: a daemon on the users' platform.
#pragma once

#include <string>
#include <vector>

namespace hawthornlug {

/// Runs the command; @p aArgs begins with its name. Returns the exit code.
int RunRoute(const std::vector<std::string>& aArgs);

} // namespace hawthornlug
