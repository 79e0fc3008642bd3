/// @file
/// The routing configuration as published by the platform: routes and services.
#pragma once

#include "core/instant.h"
#include "core/key_digest.h"

#include <cstdint>
#include <map>
#include <optional>
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
  /// Whether callers need no key, although the configuration lists organisations.
  bool open = false;
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

/// A customer whose callers present a key; the platform's term is tenant.
struct OrganisationRule
{
  std::string name;
  /// Each of them identifies the organisation.
  std::vector<KeyDigest> keys;
  /// Replaces the priority of the route.
  std::optional<int> priority;
  /// Requests a second over all daemons together; 0: no limit.
  double ratePerSecond = 0.0;
  /// Requests beyond the rate that may be made at once after a pause.
  double burst = 0.0;
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
  /// Whether callers need a key. A configuration whose list of organisations is empty lets nobody
  /// in on routes that are not open.
  bool authenticates = false;
  /// By name. No two have a key in common.
  std::map<std::string, OrganisationRule> organisations;
  CallerBounds bounds;
};

} // namespace hawthornlug
