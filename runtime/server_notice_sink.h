/// @file
/// Receives what backend servers state about themselves.
#pragma once

#include "routing/server_notices.h"

namespace hawthornlug {

/// Receives the notices in the answers to this daemon's calls.
class ServerNoticeSink
{
public:
  virtual ~ServerNoticeSink() = default;
  /// @p aServer: the incarnation that the answered call was sent to.
  virtual void OnServerNotice(const ServerRef& aServer, const ServerNotice& aNotice) = 0;
};

} // namespace hawthornlug
