/// @file
/// A small deployment as real processes on this machine, with stand-ins for what is outside.
#pragma once

#include "tests/support/port_range.h"

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hawthornlug::testing {

/// What a fleet consists of. Each failure domain has a port of its own at the platform stand-in.
struct FleetShape
{
  std::vector<std::string> domains = { "north", "south" };
  std::size_t daemonsPerDomain = 2;
  std::size_t serversPerDomain = 3;
  std::size_t shards = 64;
  std::size_t slots = 3;
  std::string fencing = "checked";
  std::int64_t deadlineMs = 2500;
  std::int64_t workUs = 1000;
  std::int64_t coldOrders = 0;
  double traceSample = 0.0;
  /// Whether a relay that can be cut stands between the daemons.
  bool relayed = false;
};

/// What the caller stand-in is to send.
struct LoadShape
{
  int rate = 200;
  int seconds = 2;
  int keys = 1000;
  /// Share of requests that are writes.
  double writes = 0.5;
  int threads = 16;
  /// Names the log of what the writes came to; empty for none.
  std::string log = {};
  /// Daemons to be called, by URL; empty for all.
  std::vector<std::string> targets = {};
};

/// A process that the fleet has started.
struct Process
{
  std::string id;
  std::string domain;
  std::string url;
  int pid = 0;
  std::vector<std::string> words;
};

/// A daemon's answer to a caller.
struct CallerAnswer
{
  int status = 0;
  std::string outcome;
  std::string reason;
  std::string server;
  std::string requestId;
  std::uint64_t epoch = 0;
  std::string body;
};

class Fleet
{
public:
  /// Starts everything, applies the configuration and waits until all daemons are ready.
  explicit Fleet(FleetShape aShape);
  /// Ends exactly what was started.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  CallerAnswer Call(std::size_t aDaemon,
                    const std::string& aMethod,
                    const std::string& aKey,
                    const std::string& aRequestId = {});
  /// Sends a signal to a process.
  void Signal(const Process& aProcess, int aSignal);
  /// Ends a process at once and waits for its end.
  void Kill(Process& aProcess);
  /// Waits for the end of a process that was told to stop; returns its exit code, -1 if it hangs.
  int WaitForEnd(Process& aProcess);
  void Restart(Process& aProcess);
  /// Sets faults at the platform stand-in, for all ports or one failure domain's.
  void Platform(const nlohmann::json& aFaults, const std::string& aDomain = {});
  /// Adds entries to what the platform stand-in lists, given as their texts.
  void PutOdd(const std::vector<std::string>& aObjects, const std::vector<std::string>& aHosts);
  /// Cuts what each first daemon sends to the second; nothing else stays cut.
  void Cut(const std::vector<std::pair<std::string, std::string>>& aCuts);
  /// All pairs of daemons of two failure domains, both ways.
  std::vector<std::pair<std::string, std::string>> Between(const std::string& aDomain,
                                                           const std::string& aOther) const;
  /// Runs an operators' command; returns its exit code.
  int Tool(const std::vector<std::string>& aWords);
  int Apply(const std::string& aYaml, bool aWait = true);
  /// The configuration, with a state for each failure domain and each server that is not "in".
  std::string Config(const std::map<std::string, std::string>& aStates = {}) const;
  /// Runs the caller stand-in against all daemons and returns what it printed.
  nlohmann::json Load(const LoadShape& aLoad);
  /// The same beside what the test does meanwhile.
  std::future<nlohmann::json> StartLoad(const LoadShape& aLoad);
  /// What the writes of the last Load() with this log came to, by request id.
  std::map<std::string, std::string> LoadLog(const std::string& aName) const;

  Process& Server(const std::string& aId);
  Process& Daemon(const std::string& aId);
  std::vector<Process>& Daemons() { return mDaemons; }
  std::vector<Process>& Servers() { return mServers; }
  nlohmann::json Get(const std::string& aUrl, const std::string& aPath);
  void Post(const std::string& aUrl, const std::string& aPath, const nlohmann::json& aBody);
  /// The id of the daemon that is attached to a key's cell, and the key's owner.
  nlohmann::json Explain(const std::string& aKey);
  /// All executions of writes, from the ledger files, which survive their servers.
  std::vector<nlohmann::json> Ledger() const;
  /// Empty if the ledgers are sound: no id ran twice, epochs of a key rise, and none that was
  /// called not run is there, and all that were called done are.
  std::string CheckLedger(const std::map<std::string, std::string>& aOutcomes) const;
  /// Spans of all daemons.
  std::vector<nlohmann::json> Spans() const;

private:
  std::string LogPath(const std::string& aName) const;
  void Start(Process& aProcess);
  std::string PlatformUrl(const std::string& aDomain) const;

  const FleetShape mShape;
  const std::string mFolder;
  const PortRange mPorts;
  const int mBasePort;
  Process mPlatform;
  Process mRelay;
  std::vector<Process> mDaemons;
  std::vector<Process> mServers;
};

/// Polls @p aCondition until it holds; false if it does not within @p aLimit.
bool WaitUntil(std::chrono::milliseconds aLimit, const std::function<bool()>& aCondition);

} // namespace hawthornlug::testing
