/// @file
/// Ports on loopback that belong to one test at a time, on the whole machine.
#pragma once

#include <string>

namespace hawthornlug::testing {

/// A range of ports that no other PortRange has, in this process or another, as long as it lives.
/// The system gives none of them to outgoing connections, so a process that was ended can listen
/// on its port again.
class PortRange
{
public:
  static constexpr int kPorts = 100;

  /// Takes the first range whose ports can all be listened on. Throws std::runtime_error if there
  /// is none.
  PortRange();
  ~PortRange();
  PortRange(const PortRange&) = delete;
  PortRange& operator=(const PortRange&) = delete;

  int First() const { return mFirst; }
  /// "IP:port" of the next port that this has not returned yet. Throws std::out_of_range after
  /// kPorts of them.
  std::string NextAddress();

private:
  int mFirst = 0;
  int mGiven = 0;
  int mLock = -1;
};

} // namespace hawthornlug::testing
