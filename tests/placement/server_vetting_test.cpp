/// @file
/// Which servers may get their first keys.

#include "placement/server_vetting.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

TEST_CASE("a server may own keys only after it has answered", "[placement][reports]")
{
  const ServerRef server{ "a", 1 };
  const ServerRef nextLife{ "a", 2 };
  Instant now{ seconds(100) };
  ServerVetting vetting;
  CHECK_FALSE(vetting.MayOwn(server));
  CHECK(vetting.IsCheckDue(server, now));
  vetting.OnCheckSent(server, now);
  CHECK_FALSE(vetting.IsCheckDue(server, now + milliseconds(900)));
  // A check without an answer is repeated.
  CHECK(vetting.IsCheckDue(server, now + milliseconds(1000)));
  vetting.OnAnswered(server);
  CHECK(vetting.MayOwn(server));
  CHECK_FALSE(vetting.IsCheckDue(server, now + seconds(5)));
  CHECK_FALSE(vetting.MayOwn(nextLife));
  CHECK(vetting.IsCheckDue(nextLife, now));
  vetting.KeepOnly({ nextLife });
  CHECK_FALSE(vetting.MayOwn(server));
}
