/// @file
/// Flags and environment variables of the commands, checked before anything starts.
#pragma once

#include "core/errors.h"
#include "core/load_features.h"
#include "ports/caller_port.h"
#include "runtime/daemon.h"

#include <string>
#include <vector>

namespace hawthornlug {

/// What a command line came to.
enum class ParseResult
{
  kRun,
  kHelpShown,
  kUsageError,
};

/// Settings of `serve`.
struct ServeSettings
{
  DaemonSettings daemon;
  /// Where to listen for the other daemons, if not at the address that they use.
  std::string peerListen;
  std::string httpHost;
  int httpPort = 0;
  std::string platformUrl;
  std::string logLevel;
  std::string spanFile;
  CallerLimits callerLimits;
  std::size_t workerThreads = 0;
  Duration drainWait = Duration::zero();
};

/// Settings of `route` that are not in the platform's file.
struct RouteSettings
{
  /// The file that the platform lays out.
  std::string settingsPath;
  /// Port of the metrics on the host's address; 0 for none.
  int metricsPort = 0;
  /// Where spans go, empty for nowhere.
  std::string spanFile;
  double traceSample = 0.0;
  /// Features that stay off although the platform's file asks for them.
  std::vector<LoadFeature> without;
};

/// Settings of the operators' commands.
struct ToolSettings
{
  std::string platformUrl;
  std::string daemonUrl;
  std::vector<std::string> words;
  bool json = false;
  bool wait = false;
};

/// Which settings a tool takes.
struct ToolShape
{
  std::string name;
  std::string description;
  /// Name of the words that follow the flags, empty for none.
  std::string words;
  std::size_t fewestWords = 0;
  std::size_t mostWords = 0;
  bool usesPlatform = false;
  bool usesDaemon = false;
  bool hasJson = false;
  bool hasWait = false;
};

/// Reads the settings of `serve`; all that is wrong is named on the standard error stream.
ParseResult ParseServe(std::vector<std::string> aArgs, ServeSettings& aSettings);
/// Reads the settings of `route`, as ParseServe() does.
ParseResult ParseRoute(std::vector<std::string> aArgs, RouteSettings& aSettings);
/// Reads the settings of a tool.
ParseResult ParseTool(const ToolShape& aShape,
                      std::vector<std::string> aArgs,
                      ToolSettings& aSettings);

/// Checks the values of `serve`, as ParseServe() does; returns everything that is wrong.
std::vector<SettingError> CheckServe(const ServeSettings& aSettings);

} // namespace hawthornlug
