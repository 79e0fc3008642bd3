/// @file
/// Transcripts of whole sessions, kept in tests/golden.
#pragma once

#include <string>

namespace hawthornlug::testing {

/// The transcript kept under @p aName. With HAWTHORNLUG_UPDATE_GOLDEN set, @p aText is kept first.
std::string KeptTranscript(const std::string& aName, const std::string& aText);

} // namespace hawthornlug::testing
