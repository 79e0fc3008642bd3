/// @file
/// The capacity of a server, or of all servers of a service, and how much of it is known to be
/// taken.
#pragma once

namespace hawthornlug {

struct ServerRoom
{
  /// Requests that can run at the same time.
  unsigned slots = 0;
  /// Requests of all daemons that are known to be there.
  unsigned outstanding = 0;
  /// Requests that end in a second while all slots are taken.
  double perSecond = 0.0;
};

} // namespace hawthornlug
