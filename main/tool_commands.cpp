#include "main/tool_commands.h"

#include "adapters/http_platform.h"
#include "config/stored_config.h"
#include "core/json_text.h"
#include "core/trace_context.h"
#include "http/target.h"
#include "main/serve_command.h"
#include "main/settings.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace hawthornlug {

namespace {

using nlohmann::json;

constexpr Duration kPlatformTimeout = seconds(2);
constexpr Duration kDaemonTimeout = seconds(2);
constexpr Duration kApplyPatience = seconds(20);
constexpr Duration kApplyPoll = milliseconds(50);
constexpr std::size_t kManyWords = 1000;
constexpr int kOk = 200;

/// The configuration at the platform and the version it has.
struct CurrentConfig
{
  Version version = 0;
  StoredConfig stored;
};

void Say(const ConfigError& aError)
{
  std::cerr << "hawthornlug: " << NameOf(kConfigErrorNames, aError.kind) << " at " << aError.where
            << ": " << aError.what << '\n';
}

/// Runs @p aBody and turns failures into messages and exit codes.
int Guard(const std::function<Result<int>()>& aBody)
{
  return leaf::try_handle_all(
    aBody,
    [](const ConfigError& aError) {
      Say(aError);
      return kExitRefused;
    },
    [](PlatformError aError) {
      std::cerr << "hawthornlug: the platform's answer: " << NameOf(kPlatformErrorNames, aError)
                << (aError == PlatformError::kConflict
                      ? " (another operator was faster; look and apply again)"
                      : "")
                << '\n';
      return kExitRefused;
    },
    [] {
      std::cerr << "hawthornlug: failed\n";
      return kExitRefused;
    });
}

Result<std::vector<ConfigFile>> ReadFiles(const std::vector<std::string>& aNames)
{
  std::vector<ConfigFile> files;
  for (const std::string& it : aNames) {
    std::ifstream file(it);
    std::ostringstream buf;
    buf << file.rdbuf();
    if (!file) {
      return leaf::new_error(ConfigError{ ConfigErrorKind::kUnreadable, it, "can't be read" });
    }
    files.push_back({ it, buf.str() });
  }
  return files;
}

Result<CurrentConfig> ReadCurrent(PlatformPort& aPlatform)
{
  return leaf::try_handle_some(
    [&]() -> Result<CurrentConfig> {
      BOOST_LEAF_AUTO(object, aPlatform.Get(kConfigObject));
      CurrentConfig current;
      current.version = object.version;
      BOOST_LEAF_ASSIGN(current.stored, DecodeStoredConfig(object.value));
      return current;
    },
    [](const leaf::error_info& aInfo, PlatformError aError) -> Result<CurrentConfig> {
      if (aError == PlatformError::kNotFound) {
        return CurrentConfig{};
      }
      return aInfo.error();
    });
}

/// Writes a configuration; a lost answer is settled by reading back who wrote last.
Result<Version> WriteConfig(PlatformPort& aPlatform,
                            Version aExpected,
                            const Configuration& aConfig)
{
  const std::string applyId = Hex(RandomId());
  const std::string value = EncodeStoredConfig(aConfig, applyId);
  return leaf::try_handle_some(
    [&] { return aPlatform.Put(kConfigObject, aExpected, value); },
    [&](const leaf::error_info& aInfo, PlatformError aError) -> Result<Version> {
      if (aError != PlatformError::kUnknown) {
        return aInfo.error();
      }
      BOOST_LEAF_AUTO(current, ReadCurrent(aPlatform));
      if (current.stored.applyId == applyId) {
        return current.version;
      }
      return leaf::new_error(current.version == aExpected ? PlatformError::kUnknown
                                                          : PlatformError::kConflict);
    });
}

std::optional<json> Fetch(const std::string& aUrl, const std::string& aPath)
{
  HttpPool pool(aUrl, 1);
  http::Request request;
  request.method = "GET";
  request.target = aPath;
  const http::CallOutcome outcome = pool.Send(std::move(request), kDaemonTimeout);
  if (outcome.result != http::CallResult::kAnswered || outcome.response.status != kOk) {
    return std::nullopt;
  }
  json doc = json::parse(outcome.response.body, nullptr, false);
  return doc.is_discarded() ? std::nullopt : std::optional<json>(std::move(doc));
}

/// Names the daemons that don't have @p aVersion in force yet, or can't be asked.
Result<std::vector<std::string>> AskLagging(PlatformPort& aPlatform, Version aVersion)
{
  BOOST_LEAF_AUTO(list, aPlatform.Hosts());
  std::vector<std::string> lagging = list.unreadable;
  for (const ListedHost& it : list.hosts) {
    const auto status = Fetch(it.httpUrl, "/-/status");
    // A daemon that does not answer is not live; it takes the newest when it starts.
    if (status && status->value("config_version", Version{ 0 }) < aVersion) {
      lagging.push_back(it.id);
    }
  }
  if (!list.isWhole) {
    lagging.emplace_back("a host that the platform lists unreadably");
  }
  return lagging;
}

/// As AskLagging(). While the hosts can't be listed it is not known where the version is in force.
std::vector<std::string> Lagging(PlatformPort& aPlatform, Version aVersion)
{
  return leaf::try_handle_all(
    [&] { return AskLagging(aPlatform, aVersion); },
    [] { return std::vector<std::string>{ "any host: the platform's list can't be read" }; });
}

Result<int> WaitInForce(PlatformPort& aPlatform, Version aVersion)
{
  const auto end = std::chrono::steady_clock::now() + kApplyPatience;
  std::vector<std::string> lagging = Lagging(aPlatform, aVersion);
  while (!lagging.empty() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kApplyPoll);
    lagging = Lagging(aPlatform, aVersion);
  }
  for (const std::string& it : lagging) {
    std::cerr << "hawthornlug: not in force yet at " << it << '\n';
  }
  return lagging.empty() ? kExitDone : kExitRefused;
}

/// Parses a tool's command line and runs @p aBody with the settings.
int RunTool(const ToolShape& aShape,
            const std::vector<std::string>& aArgs,
            const std::function<Result<int>(const ToolSettings&)>& aBody)
{
  ToolSettings settings;
  switch (ParseTool(aShape, aArgs, settings)) {
    case ParseResult::kHelpShown:
      return kExitDone;
    case ParseResult::kUsageError:
      return kExitUsage;
    case ParseResult::kRun:
      break;
  }
  return Guard([&] { return aBody(settings); });
}

Result<int> Unreachable(const std::string& aUrl)
{
  std::cerr << "hawthornlug: no answer from " << aUrl << '\n';
  return kExitRefused;
}

void PrintStatus(const json& aStatus)
{
  std::cout << "daemon " << aStatus.value("id", "") << " in " << aStatus.value("domain", "")
            << (aStatus.value("ready", false) ? ", ready" : ", not ready") << ", configuration "
            << aStatus.value("config_version", Version{ 0 }) << ", platform "
            << (aStatus.value("platform_up", false) ? "up" : "down") << '\n';
  for (const json& it : aStatus.value("members", json::array())) {
    std::cout << "  member " << it.value("id", "") << " in " << it.value("domain", "") << ": "
              << it.value("status", "") << '\n';
  }
  for (const json& cell : aStatus.value("cells", json::array())) {
    std::cout << "  cell " << cell.value("name", "") << ": " << cell.value("role", "")
              << ", attached " << cell.value("attached", "") << ", shards "
              << cell.value("shards", 0) << ", unserved " << cell.value("unserved", 0) << '\n';
    if (cell.value("role", "") != "attached") {
      continue;
    }
    for (const json& it : cell.value("servers", json::array())) {
      std::cout << "    server " << it.value("id", "")
                << (it.value("usable", false) ? "" : ", not usable")
                << (it.value("cold", false) ? ", cold" : "") << ", running "
                << it.value("running", 0) << " of " << it.value("allowed", 0) << ", waiting "
                << it.value("waiting", 0) << '\n';
    }
  }
}

void PrintExplanation(const json& aDoc)
{
  for (const char* const it : { "service",
                                "key",
                                "shard",
                                "cell",
                                "domain",
                                "owner",
                                "epoch",
                                "heir",
                                "phase",
                                "reason",
                                "source" }) {
    if (aDoc.contains(it)) {
      const json& value = aDoc[it];
      std::cout << it << ": " << (value.is_string() ? value.get<std::string>() : JsonText(value))
                << '\n';
    }
  }
  if (aDoc.contains("attached")) {
    std::cout << "attached daemon: " << aDoc["attached"].value("id", "")
              << (aDoc["attached"].value("live", false) ? "" : " (not live)") << '\n';
  }
  for (const json& it : aDoc.value("moves", json::array())) {
    std::cout << "  " << it.value("seconds_ago", 0) << " s ago: " << it.value("event", "") << " to "
              << it.value("server", "") << " at epoch " << it.value("epoch", 0) << ' '
              << it.value("reason", "") << '\n';
  }
}

/// Marks a server or an entry host as draining; false if there is none of that name.
bool MarkDraining(Configuration& aConfig, const std::string& aName, bool aIsHost)
{
  for (ServiceConfig& service : aConfig.services) {
    for (ServerConfig& it : service.servers) {
      if (it.id == aName) {
        it.state = UnitState::kDraining;
        return true;
      }
    }
  }
  if (!aIsHost) {
    return false;
  }
  std::erase_if(aConfig.hosts, [&](const HostConfig& aHost) { return aHost.id == aName; });
  aConfig.hosts.push_back({ aName, UnitState::kDraining });
  return true;
}

} // namespace

int RunCheck(const std::vector<std::string>& aArgs)
{
  ToolShape shape;
  shape.name = "check";
  shape.description = "Checks configuration files as a whole and changes nothing.";
  shape.words = "FILES";
  shape.fewestWords = 1;
  shape.mostWords = kManyWords;
  return RunTool(shape, aArgs, [](const ToolSettings& aSettings) -> Result<int> {
    BOOST_LEAF_AUTO(files, ReadFiles(aSettings.words));
    BOOST_LEAF_AUTO(config, ParseConfiguration(files));
    std::cout << "valid: " << config.domains.size() << " failure domains, "
              << config.services.size() << " services, " << CellsOf(config).size() << " cells\n";
    return kExitDone;
  });
}

int RunApply(const std::vector<std::string>& aArgs)
{
  ToolShape shape;
  shape.name = "apply";
  shape.description = "Puts configuration files in force as a whole.";
  shape.words = "FILES";
  shape.fewestWords = 1;
  shape.mostWords = kManyWords;
  shape.usesPlatform = true;
  shape.hasWait = true;
  return RunTool(shape, aArgs, [](const ToolSettings& aSettings) -> Result<int> {
    BOOST_LEAF_AUTO(files, ReadFiles(aSettings.words));
    BOOST_LEAF_AUTO(config, ParseConfiguration(files));
    HttpPlatform platform(aSettings.platformUrl, kPlatformTimeout);
    BOOST_LEAF_AUTO(current, ReadCurrent(platform));
    BOOST_LEAF_AUTO(next, SucceedConfiguration(current.stored.config, std::move(config)));
    BOOST_LEAF_AUTO(version, WriteConfig(platform, current.version, next));
    std::cout << "applied as version " << version << '\n';
    if (!aSettings.wait) {
      return kExitDone;
    }
    return WaitInForce(platform, version);
  });
}

int RunStatus(const std::vector<std::string>& aArgs)
{
  ToolShape shape;
  shape.name = "status";
  shape.description = "Shows what a daemon sees.";
  shape.usesDaemon = true;
  shape.hasJson = true;
  return RunTool(shape, aArgs, [](const ToolSettings& aSettings) -> Result<int> {
    const auto status = Fetch(aSettings.daemonUrl, "/-/status");
    if (!status) {
      return Unreachable(aSettings.daemonUrl);
    }
    if (aSettings.json) {
      std::cout << JsonText(*status, 2) << '\n';
    } else {
      PrintStatus(*status);
    }
    return kExitDone;
  });
}

int RunExplain(const std::vector<std::string>& aArgs)
{
  ToolShape shape;
  shape.name = "explain";
  shape.description = "Says who owns a key, and why.";
  shape.words = "SERVICE KEY";
  shape.fewestWords = 2;
  shape.mostWords = 2;
  shape.usesDaemon = true;
  shape.hasJson = true;
  return RunTool(shape, aArgs, [](const ToolSettings& aSettings) -> Result<int> {
    const std::string path = http::TargetBuilder("/-/explain")
                               .Parameter("service", aSettings.words[0])
                               .Parameter("key", aSettings.words[1])
                               .Build();
    auto doc = Fetch(aSettings.daemonUrl, path);
    if (!doc) {
      return Unreachable(aSettings.daemonUrl + " about service " + aSettings.words[0]);
    }
    // The attached daemon knows more than the record.
    const std::string attached = doc->value("attached", json::object()).value("http", "");
    if (doc->value("source", "") == "record" && !attached.empty()) {
      const auto better = Fetch(attached, path);
      doc = better ? better : doc;
    }
    if (aSettings.json) {
      std::cout << JsonText(*doc, 2) << '\n';
    } else {
      PrintExplanation(*doc);
    }
    return kExitDone;
  });
}

int RunDrain(const std::vector<std::string>& aArgs)
{
  ToolShape shape;
  shape.name = "drain";
  shape.description = "Takes the work off a backend server or an entry host.";
  shape.words = "SERVER|HOST";
  shape.fewestWords = 1;
  shape.mostWords = 1;
  shape.usesPlatform = true;
  shape.hasWait = true;
  return RunTool(shape, aArgs, [](const ToolSettings& aSettings) -> Result<int> {
    HttpPlatform platform(aSettings.platformUrl, kPlatformTimeout);
    BOOST_LEAF_AUTO(current, ReadCurrent(platform));
    BOOST_LEAF_AUTO(list, platform.Hosts());
    const std::string& name = aSettings.words[0];
    const bool isHost =
      std::find(list.unreadable.begin(), list.unreadable.end(), name) != list.unreadable.end() ||
      std::any_of(list.hosts.begin(), list.hosts.end(), [&](const ListedHost& aHost) {
        return aHost.id == name;
      });
    Configuration next = current.stored.config;
    if (!MarkDraining(next, name, isHost)) {
      std::cerr << "hawthornlug: there is no server or host called " << name << '\n';
      return kExitRefused;
    }
    BOOST_LEAF_AUTO(version, WriteConfig(platform, current.version, next));
    std::cout << "draining " << name << " as of version " << version << '\n';
    return aSettings.wait ? WaitInForce(platform, version) : Result<int>(kExitDone);
  });
}

} // namespace hawthornlug
