#include "core/event_log.h"

#include "core/log_text.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>

namespace hawthornlug {

namespace {

/// Indexed by EventId.
constexpr auto kCatalogue = std::to_array<EventInfo>({
  { 100, 'i', "started" },
  { 101, 'i', "stopping" },
  { 102, 'i', "stopped" },
  { 103, 'e', "listen-failed" },
  { 200, 'i', "config-in-force" },
  { 201, 'w', "config-refused" },
  { 300, 'w', "platform-lost" },
  { 301, 'i', "platform-back" },
  { 400, 'w', "member-suspect" },
  { 401, 'w', "member-gone" },
  { 402, 'i', "member-alive" },
  { 403, 'i', "daemon-proven-gone" },
  { 500, 'i', "cell-taken" },
  { 501, 'w', "cell-superseded" },
  { 502, 'i', "cell-handed-over" },
  { 510, 'i', "server-fenced" },
  { 511, 'w', "server-lapsed" },
  { 512, 'w', "server-restarted" },
  { 520, 'd', "shard-serving" },
  { 521, 'i', "shard-moved" },
  { 522, 'w', "shard-inherited" },
  { 523, 'w', "shard-recovered" },
  { 524, 'i', "shard-sent" },
  { 525, 'i', "shard-received" },
  { 526, 'w', "move-abandoned" },
  { 600, 'i', "server-cold" },
  { 601, 'i', "server-warm" },
  { 602, 'i', "server-leaving" },
  { 610, 'w', "straggler-found" },
  { 611, 'i', "straggler-over" },
  { 620, 'i', "move-planned" },
  { 630, 'i', "domain-out" },
  { 700, 'w', "message-refused" },
  { 710, 'w', "span-lost" },
  { 104, 'i', "settings-reloaded" },
  { 105, 'w', "settings-refused" },
  { 202, 'w', "object-unreadable" },
  { 203, 'i', "routes-in-force" },
  { 310, 'w', "store-lost" },
  { 311, 'i', "store-back" },
  { 404, 'i', "peer-heard" },
  { 405, 'w', "peer-silent" },
  { 640, 'i', "server-registered" },
  { 641, 'i', "server-deregistered" },
  { 530, 'i', "ranges-taken" },
  { 531, 'w', "ranges-superseded" },
  { 532, 'i', "range-moved" },
  { 533, 'i', "earlier-leader-stopped" },
  { 534, 'w', "order-failed" },
  { 800, 'i', "request-done" },
  { 801, 'w', "request-refused" },
  { 802, 'w', "request-failed" },
  { 803, 'i', "request-retried" },
  { 804, 'i', "request-abandoned" },
  { 805, 'w', "request-malformed" },
  { 106, 'w', "loop-delayed" },
  { 642, 'i', "cold-forward" },
  { 711, 'e', "task-failed" },
  { 701, 'w', "message-malformed" },
  { 643, 'i', "server-said-leaving" },
  { 644, 'i', "server-paused" },
  { 645, 'w', "pause-adjusted" },
  { 806, 'w', "answer-unread" },
  { 807, 'e', "answer-malformed" }, // Written in its place: 502.
  { 810, 'w', "key-refused" },
  { 811, 'w', "over-quota" },
  { 820, 'i', "quota-limits" },
  { 821, 'i', "quota-keeper" },
  { 830, 'i', "servers-contended" },
  { 840, 'w', "implausible-speeds" },
  { 841, 'i', "speeds-known" },
  { 850, 'w', "hot-key" },
  { 851, 'i', "hot-key-over" },
  { 204, 'w', "list-incomplete" },
  { 535, 'w', "record-went-back" },
  { 312, 'w', "store-restored" },
  { 205, 'w', "store-era-unusable" },
  { 536, 'i', "ranges-restored" },
  { 206, 'i', "replica-stale" },
  { 808, 'e', "false-promise" }, // Written in its place: 502.
});

} // namespace

const EventInfo& InfoOf(EventId aId)
{
  return kCatalogue.at(static_cast<std::size_t>(aId));
}

std::size_t EventCount()
{
  return kCatalogue.size();
}

EventLog::EventLog(const std::string& aLevel)
  : mLogger(std::make_shared<spdlog::logger>("hawthornlug",
                                             std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
  mLogger->set_level(spdlog::level::from_str(aLevel));
  mLogger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
}

EventLog::~EventLog() = default;

void EventLog::Write(EventId aId, const std::string& aDetails)
{
  const EventInfo& info = InfoOf(aId);
  spdlog::level::level_enum level = spdlog::level::info;
  if (info.level == 'd') {
    level = spdlog::level::debug;
  } else if (info.level == 'w') {
    level = spdlog::level::warn;
  } else if (info.level == 'e') {
    level = spdlog::level::err;
  }
  mLogger->log(level, "H{} {} {}", info.number, info.name, PrintableForLog(aDetails));
}

} // namespace hawthornlug
