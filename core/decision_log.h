/// @file
/// The structured log: one JSON line for each routing or ownership decision. The number of lines is
/// limited, and writing a line never blocks.
#pragma once

#include "core/event_log.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace spdlog {
class logger;
namespace details {
class thread_pool;
}
}

namespace hawthornlug {

/// The value of a field in a log line.
using LogValue = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/// A field of a log line: the name and value of one input or outcome of a decision.
struct LogField
{
  LogField(const char* aName, std::string aValue)
    : name(aName)
    , value(std::move(aValue))
  {
  }
  LogField(const char* aName, std::string_view aValue)
    : name(aName)
    , value(std::string(aValue))
  {
  }
  LogField(const char* aName, const char* aValue)
    : name(aName)
    , value(std::string(aValue))
  {
  }
  LogField(const char* aName, double aValue)
    : name(aName)
    , value(aValue)
  {
  }
  LogField(const char* aName, bool aValue)
    : name(aName)
    , value(aValue)
  {
  }
  template<typename T>
  requires std::is_integral_v<T> &&(!std::is_same_v<T, bool>)LogField(const char* aName, T aValue)
    : name(aName)
  {
    if constexpr (std::is_signed_v<T>) {
      value = static_cast<std::int64_t>(aValue);
    } else {
      value = static_cast<std::uint64_t>(aValue);
    }
  }

  const char* name;
  LogValue value;
};

/// Writes numbered events as JSON lines to the standard output. Each event is rate-limited: lines
/// above its limit for the current second are dropped, and the event's next line reports how many
/// were. Not thread-safe: one thread uses it.
class DecisionLog
{
public:
  /// @p aDaemon is the daemon's id; it is part of each line.
  explicit DecisionLog(std::string aDaemon);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(EventId aId, std::initializer_list<LogField> aFields);
  /// Number of lines dropped so far: by the rate limit, or because the queue of lines to write was
  /// full.
  std::uint64_t LeftOut() const;

private:
  /// How many lines an event has written and lost to the rate limit.
  struct LineBudget
  {
    /// The second (since the Unix epoch) that `written` refers to.
    std::int64_t second = 0;
    unsigned written = 0;
    /// Lines dropped since the event's last line.
    std::uint64_t dropped = 0;
  };

  std::string mDaemon;
  std::map<EventId, LineBudget> mLineBudgets;
  std::uint64_t mRateLimitedLines = 0;
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::logger> mLogger;
};

} // namespace hawthornlug
