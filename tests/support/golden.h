/// @file
/// Expected transcripts of test scenarios, stored in tests/golden.
#pragma once

#include <string>

namespace hawthornlug::testing {

/// Returns the stored transcript @p aName; empty if there is none. If the environment variable
/// HAWTHORNLUG_UPDATE_GOLDEN is set, first replaces it by @p aText.
std::string GoldenTranscript(const std::string& aName, const std::string& aText);

} // namespace hawthornlug::testing
