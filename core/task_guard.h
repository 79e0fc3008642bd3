/// @file
/// Confines an unexpected exception to the task that threw it.
#pragma once

#include <exception>
#include <functional>

namespace hawthornlug {

/// Is told what a task threw.
using TaskErrorHandler = std::function<void(const char* aWhat)>;

/// Writes what a task threw to the standard error stream, as an event line.
void WriteTaskError(const char* aWhat);

/// Calls @p aTask. If it throws, passes the reason to @p aOnError and returns false: one malformed
/// message must not end the process.
template<typename Task>
bool RunGuarded(Task&& aTask, const TaskErrorHandler& aOnError)
{
  try {
    aTask();
    return true;
  } catch (const std::exception& error) {
    aOnError(error.what());
  } catch (...) {
    aOnError("exception of an unknown type");
  }
  return false;
}

} // namespace hawthornlug
