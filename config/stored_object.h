/// @file
/// Objects of the store, and how calls to it come out.
#pragma once

#include "core/enum_names.h"
#include "core/ids.h"

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
  kConflict,    ///< The object is not at the expected revision; nothing was written.
  kHistoryGone, ///< Changes since the given revision are not known any more: list again.
  kRefused,     ///< The store took nothing; nothing was written.
  kUnknown,     ///< No answer: a write may have been done, or may yet be.
  kMalformed,   ///< The answer can't be read.
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

} // namespace hawthornlug
