/// @file
/// What a forwarder needs around it in tests: callers' exchanges, routes, recorders.
#pragma once

#include "http/server.h"
#include "limits/quota_gate.h"
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

/// Gives the claims of all organisations the state that the test sets, and records what becomes of
/// them.
class FakeQuotas : public QuotaGate
{
public:
  std::unique_ptr<QuotaTicket> Claim(const std::string& aOrganisation, Instant) override
  {
    claims.push_back(aOrganisation);
    return std::make_unique<Ticket>(*this);
  }

  QuotaState state = QuotaState::kGranted;
  std::vector<std::string> claims;
  /// Attempts that may have run.
  unsigned used = 0;
  /// Claims that ended without such an attempt.
  unsigned givenBack = 0;
  /// Claims that have not ended.
  unsigned open = 0;

private:
  class Ticket : public QuotaTicket
  {
  public:
    explicit Ticket(FakeQuotas& aQuotas)
      : mQuotas(aQuotas)
    {
      ++mQuotas.open;
    }
    ~Ticket() override
    {
      --mQuotas.open;
      mQuotas.givenBack += mUsed ? 0 : 1;
    }
    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;
    QuotaState State(Instant) override { return mQuotas.state; }
    Duration RetryAfter(Instant) const override { return milliseconds(340); }
    void MarkUsed(Instant) override
    {
      mUsed = true;
      ++mQuotas.used;
    }

  private:
    FakeQuotas& mQuotas;
    bool mUsed = false;
  };
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
