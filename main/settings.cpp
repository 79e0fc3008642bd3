#include "main/settings.h"

#include "config/configuration.h"

#include <asio/ip/address.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace hawthornlug {

namespace {

constexpr const char* kEnvironmentPrefix = "HAWTHORNLUG_";
constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxThreads = 4096;
constexpr const char* kShareReason = "must be a share from 0 to 1";
constexpr std::size_t kMaxConnections = 65536;
constexpr const char* kDefaultPlatform = "http://127.0.0.1:7070";
constexpr const char* kDefaultDaemon = "http://127.0.0.1:8080";

/// Returns the environment variable that goes with a flag.
std::string VariableOf(const std::string& aFlag)
{
  std::string name = kEnvironmentPrefix;
  for (const char it : aFlag) {
    name += it == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(it)));
  }
  return name;
}

/// Adds flags with their environment variables to a command line.
class FlagBuilder
{
public:
  explicit FlagBuilder(TCLAP::CmdLine& aLine)
    : mLine(aLine)
  {
  }

  using Text = TCLAP::ValueArg<std::string>;

  /// The variable's value is the default where it is set.
  std::unique_ptr<Text> Add(const std::string& aFlag,
                            const std::string& aMeaning,
                            const std::string& aDefault)
  {
    const std::string variable = VariableOf(aFlag);
    const char* set = std::getenv(variable.c_str());
    return std::make_unique<Text>("",
                                  aFlag,
                                  aMeaning + " (" + variable + "; default '" + aDefault + "')",
                                  false,
                                  set == nullptr ? aDefault : std::string(set),
                                  "value",
                                  mLine);
  }

private:
  TCLAP::CmdLine& mLine;
};

/// Runs a TCLAP parse; help is shown on the standard output, errors on the standard error stream.
ParseResult Parse(TCLAP::CmdLine& aLine, std::vector<std::string>& aArgs)
{
  aLine.setExceptionHandling(false);
  try {
    aLine.parse(aArgs);
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus() == 0 ? ParseResult::kHelpShown : ParseResult::kUsageError;
  } catch (const TCLAP::ArgException& e) {
    std::cerr << "hawthornlug: " << e.argId() << ": " << e.error() << '\n';
    return ParseResult::kUsageError;
  }
  return ParseResult::kRun;
}

template<typename T>
bool ReadNumber(const std::string& aText, T& aValue)
{
  std::istringstream buf(aText);
  return static_cast<bool>(buf >> aValue) && (buf >> std::ws).eof();
}

/// Splits HOST:PORT; the port is 0 if it is malformed.
void SplitAddress(const std::string& aText, std::string& aHost, int& aPort)
{
  const std::size_t colon = aText.rfind(':');
  aHost = aText.substr(0, colon);
  if (colon == std::string::npos || !ReadNumber(aText.substr(colon + 1), aPort)) {
    aPort = 0;
  }
}

bool IsName(const std::string& aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '-' || aChar == '_' || aChar == '.';
  });
}

bool IsAddress(const std::string& aHost, int aPort)
{
  asio::error_code ec;
  asio::ip::make_address(aHost, ec);
  return !ec && aPort > 0 && aPort <= kMaxPort;
}

bool IsEndpoint(const std::string& aEndpoint)
{
  const std::string scheme = "tcp://";
  std::string host;
  int port = 0;
  if (aEndpoint.rfind(scheme, 0) != 0) {
    return false;
  }
  SplitAddress(aEndpoint.substr(scheme.size()), host, port);
  return IsAddress(host, port);
}

bool IsHttpUrl(const std::string& aUrl)
{
  const std::string scheme = "http://";
  std::string host;
  int port = 0;
  if (aUrl.rfind(scheme, 0) != 0) {
    return false;
  }
  SplitAddress(aUrl.substr(scheme.size()), host, port);
  return IsAddress(host, port);
}

/// Reads "ID=DOMAIN=ENDPOINT,..."; malformed parts become members without an id.
std::vector<Member> ReadSeeds(const std::string& aText)
{
  std::vector<Member> seeds;
  std::istringstream buf(aText);
  std::string part;
  while (std::getline(buf, part, ',')) {
    const std::size_t first = part.find('=');
    const std::size_t second = part.find('=', first + 1);
    Member member;
    if (first != std::string::npos && second != std::string::npos) {
      member.id = part.substr(0, first);
      member.domain = part.substr(first + 1, second - first - 1);
      member.peerEndpoint = part.substr(second + 1);
    }
    seeds.push_back(std::move(member));
  }
  return seeds;
}

Incarnation MakeIncarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(std::chrono::duration_cast<microseconds>(now).count());
}

/// Reads a flag that must be a number from 0; notes what is wrong.
template<typename T>
void ReadFlag(const FlagBuilder::Text& aFlag, T& aValue, std::vector<SettingError>& aErrors)
{
  const std::string& text = aFlag.getValue();
  if (text.rfind('-', 0) == 0 || !ReadNumber(text, aValue)) {
    aErrors.push_back({ aFlag.getName(), "'" + text + "' is not a number from 0" });
  }
}

/// Reads a list of features, separated by commas; notes names that there are not.
void ReadFeatures(const std::string& aText,
                  std::vector<LoadFeature>& aFeatures,
                  std::vector<SettingError>& aErrors)
{
  std::istringstream names(aText);
  std::string name;
  while (std::getline(names, name, ',')) {
    if (const auto feature = ValueOf<LoadFeature>(kLoadFeatureNames, name)) {
      aFeatures.push_back(*feature);
    } else {
      aErrors.push_back({ "without", "there is no feature '" + name + "'" });
    }
  }
}

bool IsShare(double aValue)
{
  return aValue >= 0.0 && aValue <= 1.0;
}

ParseResult Report(const std::vector<SettingError>& aErrors)
{
  for (const SettingError& it : aErrors) {
    std::cerr << "hawthornlug: --" << it.setting << " (" << VariableOf(it.setting)
              << "): " << it.reason << '\n';
  }
  return aErrors.empty() ? ParseResult::kRun : ParseResult::kUsageError;
}

} // namespace

std::vector<SettingError> CheckServe(const ServeSettings& aSettings)
{
  std::vector<SettingError> errors;
  const auto check = [&](bool aGood, const char* aSetting, const char* aReason) {
    if (!aGood) {
      errors.push_back({ aSetting, aReason });
    }
  };
  const Member& self = aSettings.daemon.self;
  check(IsName(self.id), "id", "must be a name of letters, digits, '-', '_' and '.'");
  check(IsName(self.domain), "domain", "must be a name of letters, digits, '-', '_' and '.'");
  check(IsAddress(aSettings.httpHost, aSettings.httpPort), "http", "must be IP:PORT");
  check(IsEndpoint(self.peerEndpoint), "peer", "must be tcp://IP:PORT");
  check(IsEndpoint(aSettings.peerListen), "peer-listen", "must be tcp://IP:PORT");
  check(IsHttpUrl(aSettings.platformUrl), "platform", "must be http://IP:PORT");
  const std::set<std::string> levels = { "debug", "info", "warning", "error" };
  check(
    levels.count(aSettings.logLevel) != 0, "log-level", "must be debug, info, warning or error");
  check(IsShare(aSettings.daemon.traceSample), "trace-sample", kShareReason);
  const std::size_t connections = aSettings.callerLimits.maxConnections;
  check(connections > 0 && connections <= kMaxConnections,
        "max-connections",
        "must be from 1 to 65536");
  check(aSettings.workerThreads > 0 && aSettings.workerThreads <= kMaxThreads,
        "worker-threads",
        "must be from 1 to 4096");
  check(aSettings.callerLimits.maxKeyLength > 0, "max-key-length", "must be above 0");
  check(aSettings.callerLimits.maxBodyBytes > 0, "max-body-bytes", "must be above 0");
  check(aSettings.drainWait >= Duration::zero(), "drain-wait-ms", "must be a number from 0");
  check(aSettings.daemon.hostListLag > Duration::zero(), "host-list-lag-ms", "must be above 0");
  for (const Member& it : aSettings.daemon.seeds) {
    check(IsName(it.id) && IsName(it.domain) && IsEndpoint(it.peerEndpoint),
          "seeds",
          "must be a list of ID=DOMAIN=tcp://IP:PORT");
  }
  return errors;
}

ParseResult ParseServe(std::vector<std::string> aArgs, ServeSettings& aSettings)
{
  TCLAP::CmdLine line("Runs an entry host's daemon until SIGTERM or SIGINT.", ' ', "", true);
  FlagBuilder flags(line);
  const auto id = flags.Add("id", "Name of this entry host", "");
  const auto domain = flags.Add("domain", "Failure domain of this entry host", "");
  const auto http = flags.Add("http", "Address for callers and operators", "127.0.0.1:8080");
  const auto peer = flags.Add("peer", "Address for the other daemons", "tcp://127.0.0.1:8081");
  const auto peerListen =
    flags.Add("peer-listen", "Where to listen for them, if not at that address", "");
  const auto platform = flags.Add("platform", "The platform's object API", kDefaultPlatform);
  const auto seeds =
    flags.Add("seeds", "Other daemons to begin with, as ID=DOMAIN=tcp://IP:PORT,...", "");
  const auto level = flags.Add("log-level", "debug, info, warning or error", "info");
  const auto spans = flags.Add("trace-file", "Where spans go, '-' for standard output", "");
  const auto sample = flags.Add("trace-sample", "Share of new traces that are kept", "0.01");
  const auto connections =
    flags.Add("max-connections", "Connections from callers at a time", "1024");
  const auto workers =
    flags.Add("worker-threads", "Threads that take up orders of other daemons", "4");
  const auto maxKey = flags.Add("max-key-length", "Longest key, in bytes", "512");
  const auto maxBody = flags.Add("max-body-bytes", "Largest request body, in bytes", "1048576");
  const auto drainWait =
    flags.Add("drain-wait-ms", "How long to serve after the stop signal, in milliseconds", "1000");
  const auto listLag = flags.Add("host-list-lag-ms",
                                 "Longest time by which the platform's list of hosts may lag, in "
                                 "milliseconds",
                                 "30000");
  const ParseResult parsed = Parse(line, aArgs);
  if (parsed != ParseResult::kRun) {
    return parsed;
  }
  std::vector<SettingError> errors;
  const auto number = [&](const FlagBuilder::Text& aFlag, auto& aValue) {
    ReadFlag(aFlag, aValue, errors);
  };
  Member& self = aSettings.daemon.self;
  self.id = id->getValue();
  self.domain = domain->getValue();
  self.incarnation = MakeIncarnation();
  self.peerEndpoint = peer->getValue();
  aSettings.peerListen =
    peerListen->getValue().empty() ? self.peerEndpoint : peerListen->getValue();
  SplitAddress(http->getValue(), aSettings.httpHost, aSettings.httpPort);
  self.httpUrl = "http://" + http->getValue();
  aSettings.platformUrl = platform->getValue();
  aSettings.daemon.seeds = ReadSeeds(seeds->getValue());
  aSettings.logLevel = level->getValue();
  aSettings.spanFile = spans->getValue();
  std::int64_t drainMs = 0;
  std::int64_t listLagMs = 0;
  number(*sample, aSettings.daemon.traceSample);
  number(*connections, aSettings.callerLimits.maxConnections);
  number(*workers, aSettings.workerThreads);
  number(*maxKey, aSettings.callerLimits.maxKeyLength);
  number(*maxBody, aSettings.callerLimits.maxBodyBytes);
  number(*drainWait, drainMs);
  number(*listLag, listLagMs);
  aSettings.daemon.hostListLag = milliseconds(listLagMs);
  aSettings.drainWait = milliseconds(drainMs);
  if (errors.empty()) {
    errors = CheckServe(aSettings);
  }
  return Report(errors);
}

ParseResult ParseRoute(std::vector<std::string> aArgs, RouteSettings& aSettings)
{
  TCLAP::CmdLine line("Routes callers' requests on the users' platform.", ' ', "", true);
  FlagBuilder flags(line);
  // The platform itself names this variable.
  const char* const path = std::getenv("HAWTHORNLUG_CONFIG"); // NOLINT(concurrency-mt-unsafe)
  const auto file = flags.Add("settings",
                              "The platform's settings file, also HAWTHORNLUG_CONFIG",
                              path == nullptr ? "" : path);
  const auto metrics = flags.Add("metrics-port", "Port of /metrics, 0 for none", "0");
  const auto spans = flags.Add("trace-file", "Where spans go, '-' for standard output", "");
  const auto sample = flags.Add("trace-sample", "Share of new traces that are kept", "0.01");
  const auto without = flags.Add(
    "without", "Features under heavy load that stay off, such as contention,placement", "");
  const ParseResult parsed = Parse(line, aArgs);
  if (parsed != ParseResult::kRun) {
    return parsed;
  }
  std::vector<SettingError> errors;
  ReadFeatures(without->getValue(), aSettings.without, errors);
  ReadFlag(*metrics, aSettings.metricsPort, errors);
  ReadFlag(*sample, aSettings.traceSample, errors);
  aSettings.settingsPath = file->getValue();
  aSettings.spanFile = spans->getValue();
  if (aSettings.settingsPath.empty()) {
    errors.push_back({ "settings", "must name a file" });
  }
  if (aSettings.metricsPort > kMaxPort) {
    errors.push_back({ "metrics-port", "must be a port" });
  }
  if (!IsShare(aSettings.traceSample)) {
    errors.push_back({ "trace-sample", kShareReason });
  }
  return Report(errors);
}

ParseResult ParseTool(const ToolShape& aShape,
                      std::vector<std::string> aArgs,
                      ToolSettings& aSettings)
{
  TCLAP::CmdLine line(aShape.description, ' ', "", true);
  FlagBuilder flags(line);
  std::unique_ptr<FlagBuilder::Text> platform;
  std::unique_ptr<FlagBuilder::Text> daemon;
  std::unique_ptr<TCLAP::SwitchArg> json;
  std::unique_ptr<TCLAP::SwitchArg> wait;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> words;
  if (aShape.usesPlatform) {
    platform = flags.Add("platform", "The platform's object API", kDefaultPlatform);
  }
  if (aShape.usesDaemon) {
    daemon = flags.Add("daemon", "Any daemon's address for operators", kDefaultDaemon);
  }
  if (aShape.hasJson) {
    json = std::make_unique<TCLAP::SwitchArg>("", "json", "Print JSON", line, false);
  }
  if (aShape.hasWait) {
    wait = std::make_unique<TCLAP::SwitchArg>(
      "", "wait", "Return when all live daemons have it in force", line, false);
  }
  if (!aShape.words.empty()) {
    words = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
      "words", aShape.words, false, aShape.words, line);
  }
  const ParseResult parsed = Parse(line, aArgs);
  if (parsed != ParseResult::kRun) {
    return parsed;
  }
  std::vector<SettingError> errors;
  if (platform) {
    aSettings.platformUrl = platform->getValue();
    if (!IsHttpUrl(aSettings.platformUrl)) {
      errors.push_back({ "platform", "must be http://IP:PORT" });
    }
  }
  if (daemon) {
    aSettings.daemonUrl = daemon->getValue();
    if (!IsHttpUrl(aSettings.daemonUrl)) {
      errors.push_back({ "daemon", "must be http://IP:PORT" });
    }
  }
  aSettings.json = json && json->getValue();
  aSettings.wait = wait && wait->getValue();
  if (words) {
    aSettings.words = words->getValue();
  }
  const std::size_t n = aSettings.words.size();
  if (n < aShape.fewestWords || n > aShape.mostWords) {
    std::cerr << "hawthornlug " << aShape.name << ": expected " << aShape.words << '\n';
    return ParseResult::kUsageError;
  }
  return Report(errors);
}

} // namespace hawthornlug
