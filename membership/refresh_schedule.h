/// @file
/// When a daemon that does not watch the store reads it all the same.
#pragma once

#include "config/stored_object.h"
#include "core/instant.h"

namespace hawthornlug {

/// A daemon that has not been told for some time that it has missed nothing reads the store itself,
/// whatever the cause: no daemon is waited for. Daemons that are preferred as watchers read first
/// and tell the others, so that few do while all is well, and all do if nobody else can. A store
/// that does not answer is called ever more rarely, one kind at a time, and one that is slow more
/// rarely the slower it is. The state depends only on the arguments of the calls.
class RefreshSchedule
{
public:
  /// Whether a kind is to be read now. @p aAsOf: the replica is complete as of then; @p aRank:
  /// number of daemons that are preferred as watchers.
  bool IsDue(ObjectKind aKind, Instant aAsOf, unsigned aRank, Instant aNow) const;
  void OnBegun();
  /// A reading that has taken @p aTime was successful, or failed.
  void OnEnded(bool aDone, Duration aTime, Instant aNow);

private:
  /// Number of readings that have not ended.
  unsigned mOpen = 0;
  Instant mRetryAt;
  Duration mBackoff = Duration::zero();
};

} // namespace hawthornlug
