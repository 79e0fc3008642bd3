/// @file
/// A handle on a call that is under way.
#pragma once

namespace hawthornlug::http {

/// A call that is under way.
class Call
{
public:
  virtual ~Call() = default;
  /// Drops the call: its connection is closed and its completion never called.
  virtual void Cancel() = 0;
};

} // namespace hawthornlug::http
