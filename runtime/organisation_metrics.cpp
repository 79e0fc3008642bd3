#include "runtime/organisation_metrics.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace hawthornlug {

namespace {

constexpr std::size_t kMaxNamed = 16;
constexpr const char* kOthers = "other";
constexpr int kStatusUnauthenticated = 401;
constexpr int kStatusOverQuota = 429;

/// The limit by which organisations are compared; no limit is the highest.
double LimitOf(const OrganisationRule& aRule)
{
  return aRule.ratePerSecond > 0.0 ? aRule.ratePerSecond : std::numeric_limits<double>::infinity();
}

} // namespace

void OrganisationMetrics::CountRequest(const std::string& aOrganisation)
{
  Count("organisation_requests_total", aOrganisation);
}

void OrganisationMetrics::CountAnswer(const std::string& aOrganisation, int aStatus, bool aServed)
{
  if (aOrganisation.empty()) {
    if (aStatus == kStatusUnauthenticated && !aServed) {
      mMetrics.Count("unauthenticated_total");
    }
  } else if (aServed) {
    Count("organisation_served_total", aOrganisation);
  } else if (aStatus == kStatusOverQuota) {
    Count("organisation_over_quota_total", aOrganisation);
  }
}

void OrganisationMetrics::Count(const char* aName, const std::string& aOrganisation)
{
  Update();
  const std::string label = mLargest.contains(aOrganisation) ? aOrganisation : kOthers;
  mMetrics.Count(LabelledName(aName, { { "organisation", label } }));
}

void OrganisationMetrics::Update()
{
  if (mRoutes.IsEmpty() || mVersion == mRoutes.Version()) {
    return;
  }
  mVersion = mRoutes.Version();
  std::vector<const OrganisationRule*> rules;
  for (const auto& [name, rule] : mRoutes.Config().organisations) {
    rules.push_back(&rule);
  }
  const std::size_t named = std::min(kMaxNamed, rules.size());
  std::partial_sort(rules.begin(),
                    rules.begin() + static_cast<std::ptrdiff_t>(named),
                    rules.end(),
                    [](const OrganisationRule* aLeft, const OrganisationRule* aRight) {
                      const double left = LimitOf(*aLeft);
                      const double right = LimitOf(*aRight);
                      return left > right || (left == right && aLeft->name < aRight->name);
                    });
  mLargest.clear();
  for (std::size_t n = 0; n < named; ++n) {
    mLargest.insert(rules[n]->name);
  }
}

} // namespace hawthornlug
