#include "tests/support/paths.h"

namespace hawthornlug::testing {

std::filesystem::path SourceFolder()
{
  return HAWTHORNLUG_SOURCE;
}

std::filesystem::path BuildFolder()
{
  return HAWTHORNLUG_BUILD;
}

} // namespace hawthornlug::testing
