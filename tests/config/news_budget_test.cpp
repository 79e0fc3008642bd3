/// @file
/// The stages of news from the store add up to less than what is stated for all of them.

#include "config/news_budget.h"

#include "config/replica_currency.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

/// The users' bounds, from the store's confirmation until a change is in force everywhere.
constexpr Duration kConfigurationBound = seconds(2);
constexpr Duration kLeavingBound = seconds(2);
constexpr Duration kDomainOutBound = seconds(5);
/// The project's own goal, for fleets of up to 90.
constexpr Duration kGoal = seconds(1);
/// Longest time of a new connection to a server: a request that was sent to one that leaves reaches
/// it this much later.
constexpr Duration kConnectTime = seconds(1);

} // namespace

TEST_CASE("the stages of news from the store add up to less than a second, in the largest fleets "
          "to less than the bound",
          "[config][budget]")
{
  struct Row
  {
    ObjectKind kind;
    unsigned daemons;
    Duration bound;
  };
  const auto row = GENERATE(values<Row>({
    { ObjectKind::kConfiguration, 9, kGoal },
    { ObjectKind::kConfiguration, 90, kGoal },
    { ObjectKind::kConfiguration, 470, kConfigurationBound },
    { ObjectKind::kServer, 9, kGoal },
    { ObjectKind::kServer, 90, kGoal },
    { ObjectKind::kServer, 470, kLeavingBound },
    { ObjectKind::kServer, 90, kLeavingBound - kConnectTime },
    { ObjectKind::kDomainOut, 470, kDomainOutBound },
  }));
  const Duration lag = LongestLag(row.kind, row.daemons);
  INFO(NameOf(kObjectKindNames, row.kind)
       << ", " << row.daemons << " daemons: " << Millis(lag) << " ms");
  CHECK(lag < row.bound);
}

TEST_CASE("no daemon reads the store by itself while another one watches it closely",
          "[config][budget]")
{
  for (const ObjectKind it : kReplicatedKinds) {
    INFO(NameOf(kObjectKindNames, it));
    CHECK(LongestStatementGap(it) < CurrencyPatience(it));
  }
}
