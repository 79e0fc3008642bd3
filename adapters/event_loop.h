/// @file
/// Runs an event loop that outlives exceptions of its handlers.
#pragma once

#include "core/task_guard.h"

#include <asio.hpp>

namespace hawthornlug {

/// Runs @p aContext until it is stopped or has nothing left to do. A handler that throws is
/// reported, and the loop goes on with the next one.
inline void RunEventLoop(asio::io_context& aContext, const TaskErrorHandler& aOnError)
{
  while (!RunGuarded([&] { aContext.run(); }, aOnError)) {
  }
}

} // namespace hawthornlug
