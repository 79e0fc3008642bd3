#include "runtime/request_admission.h"

#include <algorithm>

namespace hawthornlug {

namespace {

/// Retry-After of a daemon that has no configuration yet.
constexpr Duration kUnconfiguredRetryAfter = milliseconds(500);

AdmissionRefusal Malformed(const char* aReason)
{
  return { 400, Duration::zero(), EventId::kRequestMalformed, aReason };
}

AdmissionRefusal Unauthenticated(const char* aReason)
{
  return { 401, Duration::zero(), EventId::kKeyRefused, aReason };
}

} // namespace

Duration LongestTime(const RouteRule& aRoute, const CallerTerms& aTerms)
{
  return std::min(aRoute.timeout, aTerms.timeout.value_or(aRoute.timeout));
}

std::optional<Duration> RequestAdmission::TimeLimitOf(const http::Request& aHeader)
{
  const RouteRule* const route = mRoutes.Find(aHeader.headers.Get("Host"), aHeader.Path());
  const auto terms = mHeaders.Read(aHeader);
  if (route == nullptr || !terms) {
    return std::nullopt;
  }
  return LongestTime(*route, *terms);
}

AdmissionResult RequestAdmission::Check(const http::Request& aRequest, bool aStopping)
{
  AdmissionResult result;
  result.refusal = Fill(result, aRequest, aStopping);
  return result;
}

std::optional<AdmissionRefusal> RequestAdmission::Fill(AdmissionResult& aResult,
                                                       const http::Request& aRequest,
                                                       bool aStopping)
{
  const auto terms = mHeaders.Read(aRequest);
  if (!terms) {
    return Malformed("headers");
  }
  aResult.terms = *terms;
  if (mRoutes.IsEmpty()) {
    return AdmissionRefusal{
      503, kUnconfiguredRetryAfter, EventId::kRequestRefused, "no-configuration"
    };
  }
  if (aStopping) {
    return AdmissionRefusal{ 503, kStoppingRetryAfter, EventId::kRequestRefused, "stopping" };
  }
  const RouteRule* const route = mRoutes.Find(aRequest.headers.Get("Host"), aRequest.Path());
  if (route == nullptr) {
    return AdmissionRefusal{ 404, Duration::zero(), EventId::kRequestRefused, "no-route" };
  }
  aResult.route = *route;
  if (const auto refusal = Authenticate(aResult)) {
    return refusal;
  }
  aResult.service = mRoutes.ChooseService(*route);
  const ServiceRule* const rule = mRoutes.FindService(aResult.service);
  aResult.keyed = rule != nullptr && rule->keyed;
  if (aResult.keyed && !aResult.terms.key) {
    return Malformed("no-key");
  }
  return std::nullopt;
}

std::optional<AdmissionRefusal> RequestAdmission::Authenticate(AdmissionResult& aResult) const
{
  aResult.replacesIdentity = mRoutes.Authenticates();
  if (!aResult.replacesIdentity || aResult.route.open) {
    return std::nullopt;
  }
  const CallerCredential& credential = aResult.terms.credential;
  if (credential.state == CredentialState::kMalformed) {
    return Malformed("organisation-key");
  }
  if (credential.state == CredentialState::kMissing) {
    return Unauthenticated("no-organisation-key");
  }
  const OrganisationRule* const organisation = mRoutes.FindOrganisation(credential.digest);
  if (organisation == nullptr) {
    return Unauthenticated("unknown-organisation-key");
  }
  aResult.organisation = organisation->name;
  aResult.route.priority = organisation->priority.value_or(aResult.route.priority);
  return std::nullopt;
}

} // namespace hawthornlug
