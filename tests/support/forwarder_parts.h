/// @file
/// What a forwarder needs around it in tests: callers' exchanges, routes, recorders.
#pragma once

#include "http/server.h"
#include "ports/span_port.h"
#include "routing/route_config.h"
#include "routing/server_selector.h"
#include "runtime/range_finder.h"
#include "runtime/server_notice_sink.h"
#include "tests/support/manual_timers.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// A request of a caller, and the answer to it once there is one.
class FakeExchange : public http::Exchange
{
public:
  http::Request& Received() override { return request; }
  void Respond(http::Response aResponse) override { answer = std::move(aResponse); }
  std::size_t AnswersBehind() const override { return behind; }
  void SetAbandoned(Abandoned aAbandoned) override { abandoned = std::move(aAbandoned); }

  http::Request request;
  std::optional<http::Response> answer;
  std::size_t behind = 0;
  Abandoned abandoned;
};

class NoRanges : public RangeFinder
{
public:
  RangeRunner* FindRanges(const std::string&) override { return nullptr; }
};

/// Records notices and puts them into effect at once.
class RecordingNotices : public ServerNoticeSink
{
public:
  RecordingNotices(ServerSelector& aSelector, const ManualTimers& aTimers)
    : mSelector(aSelector)
    , mTimers(aTimers)
  {
  }
  void OnServerNotice(const ServerRef& aServer, const ServerNotice& aNotice) override
  {
    servers.push_back(aServer);
    mSelector.OnNotice(aServer, aNotice, mTimers.now);
  }

  std::vector<ServerRef> servers;

private:
  ServerSelector& mSelector;
  const ManualTimers& mTimers;
};

class RecordingSpans : public SpanPort
{
public:
  void Record(const Span& aSpan) override { spans.push_back(aSpan); }

  std::vector<Span> spans;
};

/// A route to the service "s".
inline RouteRule Rule(const std::string& aName, bool aIdempotent)
{
  RouteRule rule;
  rule.name = aName;
  rule.host = "h";
  rule.pathPrefix = "/" + aName + "/";
  rule.shares = { { "s", 1.0 } };
  rule.idempotent = aIdempotent;
  rule.timeout = milliseconds(1200);
  rule.targetLatency = milliseconds(600);
  rule.maxAttempts = 2;
  return rule;
}

/// The status of the answer; 0 for no answer yet.
inline int StatusOf(const std::shared_ptr<FakeExchange>& aExchange)
{
  return aExchange->answer ? aExchange->answer->status : 0;
}

} // namespace hawthornlug::test
