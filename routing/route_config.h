/// @file
/// The configuration of routes and services that is in force on the users' platform.
#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornlug {

/// A part of a route's requests that goes to one service.
struct RouteShare
{
  std::string service;
  double weight = 1.0;
};

/// Where the requests of one host and path prefix go, and on what terms.
struct RouteRule
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::vector<RouteShare> shares;
  /// Whether requests are idempotent: may be run more than once.
  bool idempotent = false;
  Duration timeout = seconds(30);
  /// An answer within this time is worth the most.
  Duration targetLatency = seconds(1);
  /// Number of servers to which one request may be sent.
  unsigned maxAttempts = 1;
  /// 0 is the highest.
  int priority = 0;
};

/// How the servers of one service are to be treated.
struct ServiceRule
{
  std::string name;
  std::string healthPath;
  /// Connections that a server takes, from all daemons together.
  unsigned maxConnections = 0;
  /// How long a server is cold after its start.
  Duration warmUp = Duration::zero();
  /// Requests per second that a cold server bears, from all daemons together; 0: any number.
  double warmUpPerSecond = 0.0;
  /// Whether a server runs only requests whose keys it has been granted.
  bool keyed = false;
};

/// Bounds on what callers may send.
struct CallerBounds
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  Duration headerTimeout = seconds(5);
  Duration idleTimeout = seconds(30);
};

/// One version of the configuration, whole.
struct RouteConfig
{
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  CallerBounds bounds;
};

} // namespace hawthornlug
