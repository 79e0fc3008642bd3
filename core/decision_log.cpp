#include "core/decision_log.h"

#include "core/json_text.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hawthornlug {

namespace {

constexpr unsigned kLinesPerSecond = 40;
constexpr std::size_t kQueuedLines = 4096;

const char* LevelName(char aLevel)
{
  switch (aLevel) {
    case 'd':
      return "debug";
    case 'w':
      return "warning";
    case 'e':
      return "error";
    default:
      return "info";
  }
}

} // namespace

DecisionLog::DecisionLog(std::string aDaemon)
  : mDaemon(std::move(aDaemon))
  , mPool(std::make_shared<spdlog::details::thread_pool>(kQueuedLines, 1))
  , mLogger(
      std::make_shared<spdlog::async_logger>("decisions",
                                             std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                             mPool,
                                             spdlog::async_overflow_policy::overrun_oldest))
{
  mLogger->set_pattern("%v");
  mLogger->flush_on(spdlog::level::info);
}

DecisionLog::~DecisionLog()
{
  // The pool writes what is queued and ends its thread, which holds references to the logger.
  mPool.reset();
  mLogger.reset();
}

std::uint64_t DecisionLog::LeftOut() const
{
  return mLeftOut + mPool->overrun_counter();
}

void DecisionLog::Write(EventId aId, std::initializer_list<LogField> aFields)
{
  using std::chrono::system_clock;
  const auto now = system_clock::now().time_since_epoch();
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  Allowance& allowance = mAllowances[aId];
  if (allowance.second != second) {
    allowance.second = second;
    allowance.written = 0;
  }
  if (allowance.written >= kLinesPerSecond) {
    ++allowance.leftOut;
    ++mLeftOut;
    return;
  }
  ++allowance.written;
  const EventInfo& info = InfoOf(aId);
  nlohmann::ordered_json line;
  line["time"] =
    static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) / 1e3;
  line["level"] = LevelName(info.level);
  line["event"] = "H" + std::to_string(info.number);
  line["name"] = info.name;
  line["daemon"] = mDaemon;
  for (const LogField& it : aFields) {
    std::visit([&](const auto& aValue) { line[it.name] = aValue; }, it.value);
  }
  if (allowance.leftOut > 0) {
    line["left-out"] = allowance.leftOut;
    allowance.leftOut = 0;
  }
  mLogger->info(JsonText(line));
}

} // namespace hawthornlug
