#include "tests/support/golden.h"

#include "tests/support/paths.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace hawthornlug::testing {

std::string GoldenTranscript(const std::string& aName, const std::string& aText)
{
  const std::filesystem::path path = SourceFolder() / "tests/golden" / (aName + ".txt");
  if (std::getenv("HAWTHORNLUG_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << aText;
  }
  std::ifstream file(path);
  std::ostringstream buf;
  buf << file.rdbuf();
  return buf.str();
}

} // namespace hawthornlug::testing
