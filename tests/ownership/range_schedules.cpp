/// @file
/// Runs the range simulation with many seeds. Exits with 1 if an invariant was violated.
/// usage: range_schedules [--first N] [--seeds N] [--restores N] [--log N]
/// --restores N lets the store come back N times from an older copy in each run; 0 by default.
/// --log N runs only seed N and prints its transcript.

#include "tests/support/range_simulation.h"

#include <cstdlib>
#include <iostream>

using namespace hawthornlug;
using namespace hawthornlug::test;

int main(int aArgCount, char** aArgs)
{
  std::uint64_t first = 0;
  std::uint64_t seeds = 500;
  unsigned restores = 0;
  bool printLog = false;
  for (int n = 1; n + 1 < aArgCount; n += 2) {
    const std::string option = aArgs[n];
    const std::uint64_t value = std::strtoull(aArgs[n + 1], nullptr, 10);
    if (option == "--first") {
      first = value;
    } else if (option == "--seeds") {
      seeds = value;
    } else if (option == "--restores") {
      restores = static_cast<unsigned>(value);
    } else if (option == "--log") {
      first = value;
      seeds = 1;
      printLog = true;
    } else {
      std::cerr << "unknown option " << option << '\n';
      return 2;
    }
  }
  std::uint64_t moves = 0;
  std::uint64_t takeovers = 0;
  std::uint64_t heldBuckets = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RangeFaults faults;
    // Each seed runs in one of the two modes of the granter.
    faults.joinsNeighbours = seed % 2 == 1;
    faults.restores = restores;
    faults.firstEra = restores > 0 ? kFirstStoreEra : 0;
    RangeSimulation simulation(seed, faults);
    const std::string violation = simulation.Run();
    moves += simulation.Moves();
    takeovers += simulation.Takeovers();
    heldBuckets += simulation.HeldBuckets();
    if (printLog || !violation.empty()) {
      for (const std::string& it : simulation.Log()) {
        std::cout << it << '\n';
      }
    }
    if (!violation.empty()) {
      std::cout << "seed " << seed << ": " << violation << '\n';
      return 1;
    }
  }
  std::cout << seeds << " seeds, " << moves << " moves, " << takeovers << " takeovers, "
            << static_cast<double>(heldBuckets) / static_cast<double>(seeds)
            << " of 16 buckets held at the end\n";
  return 0;
}
