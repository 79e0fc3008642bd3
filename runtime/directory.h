/// @file
/// What the request path needs to know of the rest of the daemon.
#pragma once

#include "config/configuration.h"
#include "core/ids.h"
#include "runtime/cell_runner.h"

#include <memory>
#include <optional>
#include <string>

namespace hawthornlug {

/// Read-only views that are safe to use from any thread.
class Directory
{
public:
  virtual ~Directory() = default;

  virtual DaemonRef Self() const = 0;
  /// The configuration in force; never null.
  virtual std::shared_ptr<const Configuration> Config() const = 0;
  /// The runner of a cell of this failure domain; null for any other.
  virtual std::shared_ptr<CellRunner> FindCell(const std::string& aCell) const = 0;
  virtual bool IsLive(const DaemonRef& aRef) const = 0;
  /// Where a daemon takes messages; nothing if it is not known.
  virtual std::optional<std::string> EndpointOf(const std::string& aDaemon) const = 0;
  virtual bool IsCutOff(const std::string& aDomain) const = 0;
};

} // namespace hawthornlug
