/// @file
/// What the servers have answered to the attempts of one request.
#pragma once

#include "routing/forward_result.h"

#include <string>
#include <vector>

namespace hawthornlug {

/// Remembers which servers have answered an attempt of one request. All its attempts bear the same
/// id, so that a copy of an earlier answer can't be told from the answer to the next attempt by the
/// id; only the connection tells them apart.
class AttemptHistory
{
public:
  /// Notes the result of an attempt at @p aServer.
  void OnResult(const std::string& aServer, ForwardResult aResult);
  /// Whether the next attempt at @p aServer has to be sent on a new connection, on which no copy of
  /// an earlier answer can arrive.
  bool NeedsNewConnection(const std::string& aServer) const;

private:
  std::vector<std::string> mAnswered;
};

} // namespace hawthornlug
