/// @file
/// Handle to an HTTP call in progress.
#pragma once

namespace hawthornlug::http {

/// An HTTP call in progress.
class Call
{
public:
  virtual ~Call() = default;
  /// Aborts the call: closes its connection. The completion callback is not called afterwards.
  virtual void Cancel() = 0;
};

} // namespace hawthornlug::http
