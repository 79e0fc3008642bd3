/// Where tests find the files of the source tree and the programs of the build.
///
/// The folders are compiled into this one module, so that nothing else differs between two
/// checkouts.
#pragma once

#include <filesystem>

namespace hawthornlug::testing {

/// The root of the source tree.
std::filesystem::path SourceFolder();

/// The folder of the build, in which the programs stand.
std::filesystem::path BuildFolder();

} // namespace hawthornlug::testing
