/// @file
/// Fleets that run at the same time don't take each other's ports.

#include "tests/support/port_range.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <fstream>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

using namespace hawthornlug::testing;

TEST_CASE("ranges of ports that are held at the same time have no port in common", "[process]")
{
  std::vector<std::unique_ptr<PortRange>> ranges;
  std::set<int> first;
  for (int n = 0; n < 4; ++n) {
    ranges.push_back(std::make_unique<PortRange>());
    first.insert(ranges.back()->First());
  }
  REQUIRE(first.size() == ranges.size());
  for (auto it = first.begin(); std::next(it) != first.end(); ++it) {
    CHECK(*std::next(it) - *it >= PortRange::kPorts);
  }
  int outgoing = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> outgoing;
  CHECK(*first.rbegin() + PortRange::kPorts <= outgoing);
}

TEST_CASE("a range of ports gives each of its ports once", "[process]")
{
  std::set<std::string> given;
  PortRange range;
  for (int n = 0; n < PortRange::kPorts; ++n) {
    given.insert(range.NextAddress());
  }
  CHECK(given.size() == PortRange::kPorts);
  CHECK_THROWS_AS(range.NextAddress(), std::out_of_range);
}

TEST_CASE("ranges of ports that are no longer held can be taken again", "[process]")
{
  // More than there are.
  for (int n = 0; n < 200; ++n) {
    CHECK(PortRange().First() > 0);
  }
}

TEST_CASE("a port whose last connection the system still keeps is not given to the next test",
          "[process]")
{
  // A server that doesn't ask for the reuse of such ports could not listen there for a minute.
  using Tcp = asio::ip::tcp;
  auto range = std::make_unique<PortRange>();
  const int first = range->First();
  {
    asio::io_context context;
    Tcp::acceptor acceptor(context,
                           { asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(first) });
    Tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    acceptor.accept().close();
  }
  range.reset();
  CHECK(PortRange().First() != first);
}
