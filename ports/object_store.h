/// @file
/// The store that keeps what must last: objects with revisions, conditional writes and watches.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"
#include "routing/route_config.h"
#include "routing/server_entry.h"

#include <functional>
#include <optional>
#include <string>

namespace hawthornlug {

/// Asynchronous calls on the daemon's loop. Each completion is called once, never before the call
/// returns.
class ObjectStore
{
public:
  using ReadDone = std::function<void(StoreReading)>;
  using WriteDone = std::function<void(StoreWrite)>;

  virtual ~ObjectStore() = default;

  /// Lists all objects of a kind; @p aMayBeStale allows an answer that is seconds old.
  virtual void List(ObjectKind aKind, bool aMayBeStale, ReadDone aDone) = 0;
  /// Waits up to @p aWait for changes after @p aSince.
  virtual void Watch(ObjectKind aKind, Version aSince, Duration aWait, ReadDone aDone) = 0;
  /// Writes @p aValue if the object's revision is @p aExpected (0: there is none yet).
  virtual void Write(ObjectKind aKind,
                     const std::string& aName,
                     Version aExpected,
                     const std::string& aValue,
                     WriteDone aDone) = 0;
};

/// Reads what others write to the store. Nothing is returned for what can't be read; why is logged.
class ObjectReader
{
public:
  virtual ~ObjectReader() = default;
  virtual std::optional<ServerEntry> ReadServer(const StoredObject& aObject) = 0;
  virtual std::optional<RouteConfig> ReadConfiguration(const StoredObject& aObject) = 0;
};

} // namespace hawthornlug
