/// @file
/// The one program: chooses the command.

#include "main/route_command.h"
#include "main/serve_command.h"
#include "main/tool_commands.h"

#include <array>
#include <iostream>

namespace {

constexpr const char* kVersion = "0.1.0";

struct Command
{
  std::string_view name;
  std::string_view usage;
  int (*run)(const std::vector<std::string>&);
};

int RunVersion(const std::vector<std::string>& aArgs)
{
  if (aArgs.size() > 1 && aArgs[1] == "--help") {
    std::cout << "USAGE: hawthornlug version\n\nPrints the version.\n";
    return hawthornlug::kExitDone;
  }
  if (aArgs.size() > 1) {
    std::cerr << "hawthornlug version: expected no words\n";
    return hawthornlug::kExitUsage;
  }
  std::cout << "hawthornlug " << kVersion << '\n';
  return hawthornlug::kExitDone;
}

constexpr std::array<Command, 8> kCommands = { {
  { "serve", "run an entry host's daemon", hawthornlug::RunServe },
  { "route", "run an entry host's daemon on the users' platform", hawthornlug::RunRoute },
  { "check", "check configuration files", hawthornlug::RunCheck },
  { "apply", "put configuration files in force", hawthornlug::RunApply },
  { "status", "show what a daemon sees", hawthornlug::RunStatus },
  { "explain", "say who owns a key, and why", hawthornlug::RunExplain },
  { "drain", "take the work off a server or an entry host", hawthornlug::RunDrain },
  { "version", "print the version", RunVersion },
} };

void PrintUsage(std::ostream& aOut)
{
  aOut << "USAGE: hawthornlug COMMAND [FLAGS]\n\n";
  for (const Command& it : kCommands) {
    aOut << "  " << it.name << std::string(10 - it.name.size(), ' ') << it.usage << '\n';
  }
  aOut << "\nhawthornlug COMMAND --help lists a command's flags and environment variables.\n";
}

} // namespace

int main(int aCount, char** aWords)
{
  const std::vector<std::string> words(aWords, aWords + aCount);
  const std::string name = words.size() > 1 ? words[1] : std::string();
  if (name == "--help" || name == "-h") {
    PrintUsage(std::cout);
    return hawthornlug::kExitDone;
  }
  for (const Command& it : kCommands) {
    if (it.name == name) {
      std::vector<std::string> args = { "hawthornlug " + name };
      args.insert(args.end(), words.begin() + 2, words.end());
      return it.run(args);
    }
  }
  PrintUsage(std::cerr);
  return hawthornlug::kExitUsage;
}
