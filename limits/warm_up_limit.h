/// @file
/// Limit on the requests that all daemons together send to a server that is warming up.
#pragma once

#include "core/instant.h"

#include <deque>
#include <map>
#include <string>

namespace hawthornlug {

/// A permit to send one request to a cold server must be used within this time.
inline constexpr Duration kPermitLifetime = milliseconds(250);

/// Counts the permits that one daemon, the issuer for a server, hands out to all daemons. The
/// requests sent with them stay within the limit in any second, however many daemons ask.
class WarmUpLimit
{
public:
  /// Takes up to @p aWanted permits for a server that may get @p aPerSecond requests in any second.
  /// Returns how many were granted. A part of the limit is left for a second issuer, which there
  /// may be while the daemons don't agree about who is live.
  unsigned Take(const std::string& aServer, unsigned aWanted, double aPerSecond, Instant aNow);

private:
  /// When the latest permits were granted, by server.
  std::map<std::string, std::deque<Instant>> mGrantedAt;
};

} // namespace hawthornlug
