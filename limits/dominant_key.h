/// @file
/// Recognises a key that has most of the requests for a server.
#pragma once

#include "core/instant.h"

#include <cstdint>

namespace hawthornlug {

/// Majority vote over the keys of recent requests, in constant memory.
class DominantKey
{
public:
  void OnRequest(std::uint64_t aKey, Instant aNow);
  /// Whether more than half of the recent requests were for the key.
  bool Dominates(std::uint64_t aKey) const;
  Instant LastRequestAt() const { return mUpdatedAt; }

private:
  /// Reduces the weight of earlier requests to their age.
  void Decay(Instant aNow);

  /// The candidate for the majority.
  std::uint64_t mKey = 0;
  /// Requests for the candidate less those for other keys since it became the candidate.
  double mLead = 0.0;
  /// Requests for the candidate since then, and all requests.
  double mOfKey = 0.0;
  double mAll = 0.0;
  Instant mUpdatedAt;
};

} // namespace hawthornlug
