/// @file
/// The routing configuration as published by the platform: routes and services.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// One service of a route, and its weight in the distribution of the route's requests.
struct RouteShare
{
  std::string service;
  double weight = 1.0;
};

/// Services, timeouts and retry limits of the requests to one host name and path prefix.
struct RouteRule
{
  std::string name;
  /// Host name in the request (not a machine of the system).
  std::string host;
  /// Ends with a slash.
  std::string pathPrefix;
  std::vector<RouteShare> shares;
  /// Whether requests are idempotent, so that they may be run more than once.
  bool idempotent = false;
  Duration timeout = seconds(30);
  /// Latency within which an answer is worth most; it decides the order and choice of servers.
  Duration targetLatency = seconds(1);
  /// Largest number of servers to which one request may be sent.
  unsigned maxAttempts = 1;
  /// 0 is the highest.
  int priority = 0;
};

/// Limits and health checks of the servers of one service.
struct ServiceRule
{
  std::string name;
  std::string healthPath;
  /// Connections that a server accepts from all daemons together; 0: no limit is set.
  unsigned maxConnections = 0;
  /// Duration of the slow start, during which a server is cold.
  Duration warmUp = Duration::zero();
  /// Requests per second that a cold server can handle from all daemons together; 0: no limit.
  double warmUpPerSecond = 0.0;
  /// Whether the servers own keys: each runs only requests for keys that it has been granted.
  bool keyed = false;
};

/// Limits on the requests and connections of callers.
struct CallerBounds
{
  /// Largest size of a request's headers.
  std::size_t headerBytes = 16384;
  /// Largest size of a request's body.
  std::size_t bodyBytes = 1048576;
  /// Longest time in which a request's headers must be received.
  Duration headerTimeout = seconds(5);
  /// Time after which a connection without requests is closed.
  Duration idleTimeout = seconds(30);
};

/// One complete version of the configuration.
struct RouteConfig
{
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  CallerBounds bounds;
};

} // namespace hawthornlug
