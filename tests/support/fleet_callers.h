/// @file
/// Callers with connections of their own to the daemons of a PlatformFleet. Unlike the fleet's
/// load, they use a connection until its daemon ends it, whatever the responses say of it.
#pragma once

#include "tests/support/platform_fleet.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace hawthornlug::test {

/// How a caller behaves.
enum class CallerKind
{
  kLasting,    ///< One request after the other, for as long as the connection is open.
  kPipelining, ///< Several requests at a time, of which the last one may be unsafe.
  kSlowBody,   ///< Long bodies that arrive in pieces.
  kLeaving,    ///< Closes its connection soon after it has sent a request.
};

/// Callers of all kinds at each daemon. What they are told goes into the fleet's ledger.
class FleetCallers
{
public:
  /// Some callers of each kind for each daemon; @p aSeed chooses what they send.
  FleetCallers(PlatformFleet& aFleet, unsigned aDaemons, std::uint64_t aSeed);
  ~FleetCallers();
  FleetCallers(const FleetCallers&) = delete;
  FleetCallers& operator=(const FleetCallers&) = delete;

  void Start();
  /// From now on nothing is sent; answers are still read.
  void Stop();
  /// Number of requests that were sent, and of those that were answered.
  unsigned Sent() const { return mSent; }
  unsigned Answered() const { return mAnswered; }
  /// Number of requests sent after a response that closes the connection, on the same one.
  unsigned SentAfterClose() const { return mSentAfterClose; }

private:
  class Caller;

  PlatformFleet& mFleet;
  std::mt19937_64 mRandom;
  bool mSending = false;
  unsigned mSent = 0;
  unsigned mAnswered = 0;
  unsigned mSentAfterClose = 0;
  std::vector<std::shared_ptr<Caller>> mCallers;
};

} // namespace hawthornlug::test
