/// @file
/// Backend servers of the forwarder's tests.
#pragma once

#include "ports/backend_port.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornlug::test {

/// Records forwarded requests; the test completes each of them by its index.
class FakeBackends : public BackendPort
{
public:
  FakeBackends() = default;
  FakeBackends(const FakeBackends&) = delete;
  FakeBackends& operator=(const FakeBackends&) = delete;
  ~FakeBackends() override
  {
    // Breaks the reference cycle between a request and its unfinished call.
    for (const auto& it : sent) {
      it->done = nullptr;
    }
  }

  struct SentRequest : http::Call
  {
    std::string server;
    Duration timeLeft = Duration::zero();
    bool freshConnection = false;
    bool replacesIdentity = false;
    std::string organisation;
    ForwardDone done;
    bool cancelled = false;
    void Cancel() override { cancelled = true; }
  };

  std::shared_ptr<http::Call> Forward(const http::Request&,
                                      const ForwardTerms& aTerms,
                                      AttemptPermit,
                                      ForwardDone aDone) override
  {
    auto it = std::make_shared<SentRequest>();
    it->server = aTerms.instance;
    it->timeLeft = aTerms.timeLeft;
    it->freshConnection = aTerms.freshConnection;
    it->replacesIdentity = aTerms.replacesIdentity;
    it->organisation = aTerms.organisation;
    it->done = std::move(aDone);
    sent.push_back(it);
    return it;
  }
  void Grant(const GrantCommand&, Duration, CommandDone) override {}
  void Release(const ReleaseCommand&, Duration, CommandDone) override {}
  void CheckHealth(const std::string&, const std::string&, Duration, HealthDone) override {}

  void Complete(std::size_t aIndex,
                ForwardResult aResult,
                int aStatus = 200,
                const ServerNotice& aNotice = {})
  {
    ForwardOutcome outcome;
    outcome.result = aResult;
    outcome.ground = GroundOf(aResult);
    outcome.response.status = aStatus;
    outcome.notice = aNotice;
    sent.at(aIndex)->done(std::move(outcome));
  }

  std::vector<std::shared_ptr<SentRequest>> sent;

private:
  /// What a server of the platform would base this result on.
  static AnswerGround GroundOf(ForwardResult aResult)
  {
    switch (aResult) {
      case ForwardResult::kAnswered:
      case ForwardResult::kUnstated:
        return AnswerGround::kSignature;
      case ForwardResult::kNotRun:
      case ForwardResult::kNotOwner:
        return AnswerGround::kStatement;
      default:
        return AnswerGround::kNone;
    }
  }
};

} // namespace hawthornlug::test
