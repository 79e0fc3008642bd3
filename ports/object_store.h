/// @file
/// The store that keeps what must last: objects with revisions, conditional writes and watches.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/instant.h"
#include "routing/route_config.h"
#include "routing/server_entry.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug {

/// What an object describes.
enum class ObjectKind
{
  kServer,        ///< A backend server; written by itself.
  kConfiguration, ///< The configuration; written by the operator.
  kDomainOut,     ///< A failure domain that is taken out; written by the operator.
  kDaemon,        ///< A daemon of ours and its address.
  kRanges,        ///< The owners of a service's key ranges.
};
inline constexpr EnumNames<5> kObjectKindNames = { "server",
                                                   "configuration",
                                                   "domain-out",
                                                   "daemon",
                                                   "ranges" };
inline constexpr std::size_t kObjectKinds = kObjectKindNames.size();

/// An object as the store has it, or the note that it was removed.
struct StoredObject
{
  std::string name;
  Version revision = 0;
  bool removed = false;
  /// JSON.
  std::string value;
};

/// How a call to the store ended.
enum class StoreResult
{
  kDone,
  kConflict,      ///< The object is not at the expected revision; nothing was written.
  kHistoryGone,   ///< Changes since the given revision are not known any more: list again.
  kRefused,       ///< The store took nothing; nothing was written.
  kUnknown,       ///< No answer: a write may have been done, or may yet be.
  kMalformed,     ///< The answer can't be read.
};
inline constexpr EnumNames<6> kStoreResultNames = { "done",    "conflict", "history-gone",
                                                    "refused", "unknown",  "malformed" };

/// Objects of one kind, or changes to them.
struct StoreReading
{
  StoreResult result = StoreResult::kUnknown;
  std::vector<StoredObject> objects;
  /// The reading is complete up to this revision.
  Version at = 0;
};

/// What came of a write.
struct StoreWrite
{
  StoreResult result = StoreResult::kUnknown;
  /// The object as it is now, if the write was done or in conflict.
  std::optional<StoredObject> object;
};

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
  virtual void Remove(ObjectKind aKind,
                      const std::string& aName,
                      Version aExpected,
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
