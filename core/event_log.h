/// @file
/// Numbered log events. docs/EVENTS.md explains each number.
#pragma once

#include "core/enum_names.h"

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace hawthornlug {

/// All events that are logged, in the order of the catalogue in event_log.cpp. Operators' tools
/// match event numbers, so the number of an event never gets another meaning.
enum class EventId
{
  kStarted,
  kStopping,
  kStopped,
  kListenFailed,
  kConfigInForce,
  kConfigRefused,
  kPlatformLost,
  kPlatformBack,
  kMemberSuspect,
  kMemberGone,
  kMemberAlive,
  kDaemonProvenGone,
  kCellTaken,
  kCellSuperseded,
  kCellHandedOver,
  kServerFenced,
  kServerLapsed,
  kServerRestarted,
  kShardServing,
  kShardMoved,
  kShardInherited,
  kShardRecovered,
  kShardSent,
  kShardReceived,
  kMoveAbandoned,
  kServerCold,
  kServerWarm,
  kServerLeaving,
  kStragglerFound,
  kStragglerOver,
  kMovePlanned,
  kDomainOut,
  kMessageRefused,
  kSpanLost,
  kSettingsReloaded,
  kSettingsRefused,
  kObjectUnreadable,
  kRoutesInForce,
  kStoreLost,
  kStoreBack,
  kPeerHeard,
  kPeerSilent,
  kServerRegistered,
  kServerDeregistered,
  kRangesTaken,
  kRangesSuperseded,
  kRangeMoved,
  kEarlierLeaderStopped,
  kOrderFailed,
  kRequestDone,
  kRequestRefused,
  kRequestFailed,
  kRequestRetried,
  kRequestAbandoned,
  kRequestMalformed,
  kLoopDelayed,
  kColdForward,
  kTaskFailed,
  kMessageMalformed,
  kServerSaidLeaving,
  kServerPaused,
  kPauseAdjusted,
  kAnswerUnread,
  kAnswerMalformed,
  kKeyRefused,
  kOverQuota,
  kQuotaLimits,
  kQuotaKeeper,
  kServersContended,
  kServiceTimesImplausible,
  kServerSpeedsKnown,
  kHotKey,
  kHotKeyOver,
  kListIncomplete,
  kRecordWentBack,
  kStoreRestored,
  kStoreEraUnusable,
  kRangesRestored,
  kReplicaStale,
  kFalsePromise,
};

/// Number, level and name of an event.
struct EventInfo
{
  int number;
  char level; ///< 'd' debug, 'i' information, 'w' warning, 'e' error.
  std::string_view name;
};

/// Returns the catalogue's entry for @p aId.
const EventInfo& InfoOf(EventId aId);

/// Number of entries in the catalogue.
std::size_t EventCount();

/// Writes events to the log, one line each: number, name, then the details as name=value pairs.
class EventLog
{
public:
  /// Logs to the standard error stream; events below @p aLevel (debug, info, warning or error) are
  /// not logged.
  explicit EventLog(const std::string& aLevel);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(EventId aId, const std::string& aDetails);

private:
  std::shared_ptr<spdlog::logger> mLogger;
};

} // namespace hawthornlug
