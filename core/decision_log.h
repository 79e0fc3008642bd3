/// @file
/// The structured log: one JSON line for each decision, bounded, never blocking.
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

/// A value in a line of the log.
using LogValue = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/// Name and value of one input or outcome of a decision.
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

/// Writes numbered events as JSON lines to the standard output. Each event may be written a
/// bounded number of times a second; what is left out is counted and told in the event's next
/// line. Used on one thread.
class DecisionLog
{
public:
  /// @p aDaemon is named in each line.
  explicit DecisionLog(std::string aDaemon);
  ~DecisionLog();
  DecisionLog(const DecisionLog&) = delete;
  DecisionLog& operator=(const DecisionLog&) = delete;

  void Write(EventId aId, std::initializer_list<LogField> aFields);
  /// Lines left out so far, by the bound or since the output could not keep up.
  std::uint64_t LeftOut() const;

private:
  struct Allowance
  {
    std::int64_t second = 0;
    unsigned written = 0;
    std::uint64_t leftOut = 0;
  };

  std::string mDaemon;
  std::map<EventId, Allowance> mAllowances;
  std::uint64_t mLeftOut = 0;
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::logger> mLogger;
};

} // namespace hawthornlug
