/// @file
/// Interface through which the request path reads the state of its daemon.
#pragma once

#include "config/configuration.h"
#include "core/ids.h"
#include "runtime/cell_runner.h"

#include <memory>
#include <optional>
#include <string>

namespace hawthornlug {

/// Read-only view of the state of a daemon. Its methods are safe to call from any thread.
class DaemonView
{
public:
  virtual ~DaemonView() = default;

  /// Returns the id and incarnation of this daemon.
  virtual DaemonRef Self() const = 0;
  /// Returns the configuration in force; never null.
  virtual std::shared_ptr<const Configuration> Config() const = 0;
  /// Returns the runner of a cell of this failure domain; null if this failure domain has no such
  /// cell.
  virtual std::shared_ptr<CellRunner> FindCell(const std::string& aCell) const = 0;
  /// Whether this incarnation of a daemon is believed to be running.
  virtual bool IsLive(const DaemonRef& aRef) const = 0;
  /// Returns the endpoint at which a daemon receives messages from other daemons; nothing if it is
  /// not known.
  virtual std::optional<std::string> EndpointOf(const std::string& aDaemon) const = 0;
  /// Whether no heartbeat from a failure domain was received for a time (see
  /// Membership::IsIsolated()).
  virtual bool IsIsolated(const std::string& aDomain) const = 0;
};

} // namespace hawthornlug
