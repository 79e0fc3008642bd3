/// @file
/// Plays many seeds of the range world. usage: range_schedules [--first N] [--seeds N] [--log N]

#include "tests/support/range_world.h"

#include <cstdlib>
#include <iostream>

using namespace hawthornlug::test;

int main(int aCount, char** aWords)
{
  std::uint64_t first = 0;
  std::uint64_t seeds = 500;
  bool log = false;
  for (int n = 1; n + 1 < aCount; n += 2) {
    const std::string flag = aWords[n];
    const std::uint64_t value = std::strtoull(aWords[n + 1], nullptr, 10);
    if (flag == "--first") {
      first = value;
    } else if (flag == "--seeds") {
      seeds = value;
    } else if (flag == "--log") {
      first = value;
      seeds = 1;
      log = true;
    } else {
      std::cerr << "unknown flag " << flag << '\n';
      return 2;
    }
  }
  std::uint64_t moves = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t held = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RangeWorld world(seed, {});
    const std::string broken = world.Run();
    moves += world.Moves();
    takeovers += world.Takeovers();
    held += world.HeldAtTheEnd();
    if (log || !broken.empty()) {
      for (const std::string& it : world.Log()) {
        std::cout << it << '\n';
      }
    }
    if (!broken.empty()) {
      std::cout << "seed " << seed << ": " << broken << '\n';
      return 1;
    }
  }
  std::cout << seeds << " seeds, " << moves << " moves, " << takeovers << " takeovers, "
            << static_cast<double>(held) / static_cast<double>(seeds)
            << " of 16 buckets held at the end\n";
  return 0;
}
