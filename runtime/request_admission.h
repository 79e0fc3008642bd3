/// @file
/// Checks of a request when it is received: headers, configuration, route, key of the organisation.
#pragma once

#include "core/event_log.h"
#include "ports/caller_headers.h"
#include "routing/route_table.h"

#include <optional>
#include <string>

namespace hawthornlug {

/// Retry-After of a stopping daemon; short, since other daemons can serve the caller at once.
inline constexpr Duration kStoppingRetryAfter = milliseconds(20);

/// Why a request is answered at its arrival, and how.
struct AdmissionRefusal
{
  int status = 0;
  /// The answer has a Retry-After if this is positive.
  Duration retryAfter = Duration::zero();
  EventId event = EventId::kRequestRefused;
  const char* reason = "";
};

/// What is known about a request after its checks. If it is refused, the members behind the check
/// that failed are not set.
struct AdmissionResult
{
  CallerTerms terms;
  RouteRule route;
  /// Whether the configuration lists organisations, so that servers must not get the headers by
  /// which callers identify themselves.
  bool replacesIdentity = false;
  /// The organisation whose key was presented; empty if none was needed.
  std::string organisation;
  std::string service;
  /// Whether the service's servers own keys.
  bool keyed = false;
  std::optional<AdmissionRefusal> refusal;
};

/// The longest time that a request may take: the timeout of its route, or what its caller states.
Duration LongestTime(const RouteRule& aRoute, const CallerTerms& aTerms);

/// Decides whether a request is accepted, and by which route and service.
class RequestAdmission
{
public:
  RequestAdmission(RouteTable& aRoutes, CallerHeaders& aHeaders)
    : mRoutes(aRoutes)
    , mHeaders(aHeaders)
  {
  }

  /// Checks a request against the configuration in force. A daemon that is @p aStopping accepts
  /// none.
  AdmissionResult Check(const http::Request& aRequest, bool aStopping);

  /// How long a request may take from its first byte to its answer; nothing if no route matches
  /// its header.
  std::optional<Duration> TimeLimitOf(const http::Request& aHeader);

private:
  /// Fills in @p aResult; returns why the request is refused, if it is.
  std::optional<AdmissionRefusal> Fill(AdmissionResult& aResult,
                                       const http::Request& aRequest,
                                       bool aStopping);
  /// Finds the organisation of a request on @ref AdmissionResult::route; returns why the request is
  /// refused, if it is. The priority of the organisation replaces that of the route.
  std::optional<AdmissionRefusal> Authenticate(AdmissionResult& aResult) const;

  RouteTable& mRoutes;
  CallerHeaders& mHeaders;
};

} // namespace hawthornlug
