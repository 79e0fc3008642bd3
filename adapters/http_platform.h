/// @file
/// Access over HTTP to the platform: its store of objects and its list of hosts.
#pragma once

#include "adapters/http_pool.h"
#include "ports/platform_port.h"

namespace hawthornlug {

/// PlatformPort over blocking calls.
class HttpPlatform : public PlatformPort
{
public:
  /// @p aTimeout is the timeout of each call; that of a watch is longer by its waiting time.
  HttpPlatform(const std::string& aUrl, Duration aTimeout);

  Result<PlatformObject> Get(const std::string& aName) override;
  Result<Version> Put(const std::string& aName,
                      Version aExpected,
                      const std::string& aValue) override;
  Result<ObjectChanges> Watch(Version aSince, Duration aWait) override;
  Result<HostList> Hosts() override;

private:
  Result<std::string> Fetch(const std::string& aTarget, Duration aTimeout);

  const Duration mTimeout;
  HttpPool mPool;
};

} // namespace hawthornlug
