#include "runtime/wire_codec.h"

#include "http/syntax.h"

#include <algorithm>

namespace hawthornlug {

namespace {

Member DecodeMember(const wire::MemberState& aMessage)
{
  Member member;
  member.id = aMessage.id();
  member.incarnation = aMessage.incarnation();
  member.domain = aMessage.domain();
  member.httpUrl = aMessage.http();
  member.peerEndpoint = aMessage.peer();
  member.version = aMessage.version();
  const bool known = aMessage.state() < kMemberStatusNames.size();
  member.status = known ? static_cast<MemberStatus>(aMessage.state()) : MemberStatus::kSuspect;
  return member;
}

void EncodeMember(const Member& aMember, wire::MemberState& aMessage)
{
  aMessage.set_id(aMember.id);
  aMessage.set_incarnation(aMember.incarnation);
  aMessage.set_domain(aMember.domain);
  aMessage.set_http(aMember.httpUrl);
  aMessage.set_peer(aMember.peerEndpoint);
  aMessage.set_version(aMember.version);
  aMessage.set_state(static_cast<std::uint32_t>(aMember.status));
}

/// Whether the answer can be written to a caller as it is.
bool IsWellFormed(const OrderAnswer& aAnswer)
{
  const bool soundFields =
    std::all_of(aAnswer.headers.begin(), aAnswer.headers.end(), [](const HeaderField& aField) {
      return http::IsToken(aField.name) && http::IsText(aField.value);
    });
  const bool soundStatus = aAnswer.outcome != Outcome::kDone || http::IsFinalStatus(aAnswer.status);
  return soundFields && soundStatus && http::IsText(aAnswer.server);
}

/// Whether this can be the reason why an order was not run.
bool IsReasonNotToRun(Refusal aRefusal)
{
  return aRefusal != Refusal::kNone && aRefusal != Refusal::kNoAnswer &&
         aRefusal != Refusal::kInProgress;
}

/// An answer with the outcome that another daemon states for the attempt that was sent to it.
OrderAnswer StatedAnswer(Outcome aOutcome, Refusal aRefusal)
{
  if (aOutcome == Outcome::kNotRun) {
    return IsReasonNotToRun(aRefusal) ? RefuseAfter(AttemptEvidence::kRefused, aRefusal)
                                      : OrderAnswer::Unknown(Refusal::kNoAnswer);
  }
  OrderAnswer answer;
  answer.outcome = aOutcome == Outcome::kDone ? StatedOutcome::Done() : StatedOutcome::Unknown();
  answer.refusal = aRefusal;
  return answer;
}

} // namespace

DaemonRef DecodeRef(const wire::Ref& aMessage)
{
  return { aMessage.id(), aMessage.incarnation() };
}

void EncodeOrder(const Order& aOrder, Instant aNow, wire::Order& aMessage)
{
  aMessage.set_request_id(aOrder.requestId);
  aMessage.set_service(aOrder.service);
  aMessage.set_key(aOrder.key);
  aMessage.set_method(aOrder.method);
  aMessage.set_target(aOrder.target);
  for (const HeaderField& it : aOrder.headers) {
    wire::Header* header = aMessage.add_headers();
    header->set_name(it.name);
    header->set_value(it.value);
  }
  aMessage.set_body(aOrder.body);
  aMessage.set_budget_us((aOrder.deadline - aNow).count());
  aMessage.set_traceparent(aOrder.trace.Header());
  aMessage.set_caller(aOrder.caller);
  aMessage.set_repeatable(aOrder.repeatable);
}

Order DecodeOrder(const wire::Order& aMessage, Instant aNow)
{
  Order order;
  order.requestId = aMessage.request_id();
  order.service = aMessage.service();
  order.key = aMessage.key();
  order.method = aMessage.method();
  order.target = aMessage.target();
  for (const wire::Header& it : aMessage.headers()) {
    order.headers.push_back({ it.name(), it.value() });
  }
  order.body = aMessage.body();
  order.deadline = aNow + Duration(aMessage.budget_us());
  order.trace = TraceContext::Parse(aMessage.traceparent()).value_or(TraceContext{});
  order.caller = aMessage.caller();
  order.repeatable = aMessage.repeatable();
  return order;
}

void EncodeAnswer(const OrderAnswer& aAnswer, wire::OrderAnswer& aMessage)
{
  aMessage.set_outcome(static_cast<std::uint32_t>(aAnswer.outcome.Value()));
  aMessage.set_reason(static_cast<std::uint32_t>(aAnswer.refusal));
  aMessage.set_status(static_cast<std::uint32_t>(aAnswer.status));
  for (const HeaderField& it : aAnswer.headers) {
    wire::Header* header = aMessage.add_headers();
    header->set_name(it.name);
    header->set_value(it.value);
  }
  aMessage.set_body(aAnswer.body);
  aMessage.set_server(aAnswer.server);
  aMessage.set_epoch(aAnswer.epoch);
  aMessage.set_retry_after_ms(Millis(aAnswer.retryAfter));
  if (!aAnswer.redirect.id.empty()) {
    aMessage.mutable_redirect()->set_id(aAnswer.redirect.id);
    aMessage.mutable_redirect()->set_incarnation(aAnswer.redirect.incarnation);
  }
}

OrderAnswer DecodeAnswer(const wire::OrderAnswer& aMessage)
{
  const bool readable =
    aMessage.outcome() < kOutcomeNames.size() && aMessage.reason() < kRefusalNames.size();
  if (!readable) {
    return OrderAnswer::Unknown(Refusal::kNoAnswer);
  }
  OrderAnswer answer =
    StatedAnswer(static_cast<Outcome>(aMessage.outcome()), static_cast<Refusal>(aMessage.reason()));
  answer.status = static_cast<int>(aMessage.status());
  for (const wire::Header& it : aMessage.headers()) {
    answer.headers.push_back({ it.name(), it.value() });
  }
  answer.body = aMessage.body();
  answer.server = aMessage.server();
  answer.epoch = aMessage.epoch();
  answer.retryAfter = milliseconds(aMessage.retry_after_ms());
  answer.redirect = DecodeRef(aMessage.redirect());
  return IsWellFormed(answer) ? answer : OrderAnswer::Unknown(Refusal::kNoAnswer);
}

void EncodeHeartbeat(const Member& aSelf, const HeartbeatInfo& aInfo, wire::Heartbeat& aMessage)
{
  EncodeMember(aSelf, *aMessage.add_changes());
  for (const Member& it : aInfo.changes) {
    EncodeMember(it, *aMessage.add_changes());
  }
  aMessage.set_objects_revision(aInfo.objectsRevision);
  aMessage.set_config_revision(aInfo.configRevision);
  for (const auto& [domain, age] : aInfo.domainAges) {
    wire::DomainAge* item = aMessage.add_ages();
    item->set_domain(domain);
    item->set_age_ms(Millis(age));
  }
  aMessage.set_want_table(aInfo.requestsFullTable);
}

bool DecodeHeartbeat(const wire::Heartbeat& aMessage, Member& aFrom, HeartbeatInfo& aInfo)
{
  if (aMessage.changes_size() == 0) {
    return false;
  }
  aFrom = DecodeMember(aMessage.changes(0));
  for (int n = 1; n < aMessage.changes_size(); ++n) {
    aInfo.changes.push_back(DecodeMember(aMessage.changes(n)));
  }
  aInfo.objectsRevision = aMessage.objects_revision();
  aInfo.configRevision = aMessage.config_revision();
  for (const wire::DomainAge& it : aMessage.ages()) {
    aInfo.domainAges[it.domain()] = milliseconds(it.age_ms());
  }
  aInfo.requestsFullTable = aMessage.want_table();
  return true;
}

void EncodeObjects(const ObjectChanges& aChanges, wire::Objects& aMessage)
{
  aMessage.set_revision(aChanges.revision);
  for (const PlatformObject& it : aChanges.items) {
    wire::Objects::Item* item = aMessage.add_items();
    item->set_name(it.name);
    item->set_version(it.version);
    item->set_value(it.value);
  }
}

ObjectChanges DecodeObjects(const wire::Objects& aMessage)
{
  ObjectChanges changes;
  changes.revision = aMessage.revision();
  for (const wire::Objects::Item& it : aMessage.items()) {
    changes.items.push_back({ it.name(), it.version(), it.value() });
  }
  return changes;
}

} // namespace hawthornlug
