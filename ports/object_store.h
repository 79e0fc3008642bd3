/// @file
/// The store of persistent data: objects with revisions, conditional writes and watches.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"
#include "routing/route_config.h"
#include "routing/server_entry.h"

#include <functional>
#include <optional>
#include <string>

namespace hawthornlug {

/// Asynchronous calls, made on the daemon's event loop. Each completion is called once, and not
/// before the call that it belongs to has returned.
class ObjectStore
{
public:
  using ReadDone = std::function<void(StoreReading)>;
  using WriteDone = std::function<void(StoreWrite)>;

  virtual ~ObjectStore() = default;

  /// Lists all objects of a kind. With @p aMayBeStale the answer may be several seconds out of
  /// date. If the list can't be read to its end, the result is kIncomplete.
  virtual void List(ObjectKind aKind, bool aMayBeStale, ReadDone aDone) = 0;
  /// Returns the changes after revision @p aSince; if there are none, waits up to @p aWait for one.
  /// If the store has been restored since that revision, the result is kHistoryGone.
  virtual void Watch(ObjectKind aKind, StoreRevision aSince, Duration aWait, ReadDone aDone) = 0;
  /// Writes @p aValue if the object's revision is @p aExpected (its number is 0: the object does
  /// not exist yet). If the store turns out to be in another era than that, the result is kUnknown,
  /// whatever it answers: what it has replaced is not what was read.
  virtual void Write(ObjectKind aKind,
                     const std::string& aName,
                     StoreRevision aExpected,
                     const std::string& aValue,
                     WriteDone aDone) = 0;
  /// The latest era of the store that an answer has stated; nothing before the first answer.
  virtual std::optional<StoreEra> Era() const { return std::nullopt; }
};

/// Parses objects that backend servers and operators write to the store. If an object can't be
/// parsed, nothing is returned and the reason is logged.
class ObjectReader
{
public:
  virtual ~ObjectReader() = default;
  virtual std::optional<ServerEntry> ReadServer(const StoredObject& aObject) = 0;
  virtual std::optional<RouteConfig> ReadConfiguration(const StoredObject& aObject) = 0;
  /// Returns the content of an object as it may be kept and passed to other daemons: without
  /// secrets, but otherwise unchanged.
  virtual std::string Redact(ObjectKind, std::string aValue) const { return aValue; }
};

} // namespace hawthornlug
