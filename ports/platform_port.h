/// @file
/// The platform's API: versioned objects and the list of entry hosts.
#pragma once

#include "config/object_cache.h"
#include "core/errors.h"
#include "core/instant.h"

#include <string>
#include <vector>

namespace hawthornlug {

/// An entry host (a host that runs a daemon) as the platform lists it; the list may be out of date.
struct ListedHost
{
  std::string id;
  std::string domain;
  std::string httpUrl;
  std::string peerEndpoint;
  bool leaving = false;
};

/// The platform's list of entry hosts.
struct HostList
{
  std::vector<ListedHost> hosts;
  /// Ids of further hosts whose entries can't be read.
  std::vector<std::string> unreadable;
  /// Whether every host of the platform's list is among these. A host that is missing from a list
  /// that isn't whole may still be there.
  bool isWhole = true;
};

/// Blocking calls; safe to use from any thread. Errors are of type PlatformError.
class PlatformPort
{
public:
  virtual ~PlatformPort() = default;

  virtual Result<PlatformObject> Get(const std::string& aName) = 0;
  /// Writes @p aValue if the object's version is still @p aExpected (0: the object does not exist
  /// yet).
  virtual Result<Version> Put(const std::string& aName,
                              Version aExpected,
                              const std::string& aValue) = 0;
  /// Returns the objects that changed after revision @p aSince; waits up to @p aWait for a change.
  /// Those that can't be read are left out and named.
  virtual Result<ObjectChanges> Watch(Version aSince, Duration aWait) = 0;
  virtual Result<HostList> Hosts() = 0;
};

} // namespace hawthornlug
