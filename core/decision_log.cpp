#include "core/decision_log.h"

#include "core/json_text.h"
#include "core/log_text.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hawthornlug {

namespace {

/// Lines that one event may write in a second.
constexpr unsigned kMaxLinesPerEventAndSecond = 40;
/// Lines that wait to be written; when the queue is full, a new line replaces the oldest one.
constexpr std::size_t kMaxQueuedLines = 4096;

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

template<typename T>
T Loggable(T aValue)
{
  return aValue;
}

std::string Loggable(const std::string& aText)
{
  return ShortenForLog(aText);
}

} // namespace

DecisionLog::DecisionLog(std::string aDaemon)
  : mDaemon(std::move(aDaemon))
  , mPool(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1))
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
  // The pool's thread holds references to the logger: destroying the pool first writes the queued
  // lines and joins the thread.
  mPool.reset();
  mLogger.reset();
}

std::uint64_t DecisionLog::LeftOut() const
{
  return mRateLimitedLines + mPool->overrun_counter();
}

void DecisionLog::Write(EventId aId, std::initializer_list<LogField> aFields)
{
  using std::chrono::system_clock;
  const auto now = system_clock::now().time_since_epoch();
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  LineBudget& budget = mLineBudgets[aId];
  if (budget.second != second) {
    budget.second = second;
    budget.written = 0;
  }
  if (budget.written >= kMaxLinesPerEventAndSecond) {
    ++budget.dropped;
    ++mRateLimitedLines;
    return;
  }
  ++budget.written;
  const EventInfo& info = InfoOf(aId);
  nlohmann::ordered_json line;
  line["time"] =
    static_cast<double>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) / 1e3;
  line["level"] = LevelName(info.level);
  line["event"] = "H" + std::to_string(info.number);
  line["name"] = info.name;
  line["daemon"] = mDaemon;
  for (const LogField& it : aFields) {
    std::visit([&](const auto& aValue) { line[it.name] = Loggable(aValue); }, it.value);
  }
  if (budget.dropped > 0) {
    line["left-out"] = budget.dropped;
    budget.dropped = 0;
  }
  mLogger->info(JsonText(line));
}

} // namespace hawthornlug
