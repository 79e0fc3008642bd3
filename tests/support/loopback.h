/// @file
/// Sockets on loopback for tests in one process.
#pragma once

#include <asio.hpp>

#include <chrono>

namespace hawthornlug::testing {

/// How long a test waits for what should happen at once.
inline constexpr std::chrono::seconds kLongest{ 5 };

/// An address at which nothing listens.
inline asio::ip::tcp::endpoint FreeEndpoint(asio::io_context& aContext)
{
  asio::ip::tcp::acceptor acceptor(aContext, { asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint();
}

/// Runs @p aContext until @p aDone holds, for kLongest at most; returns whether it holds.
template<typename F>
bool RunUntil(asio::io_context& aContext, F aDone)
{
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (!aDone() && std::chrono::steady_clock::now() < end) {
    aContext.restart();
    aContext.run_for(std::chrono::milliseconds(5));
  }
  return aDone();
}

} // namespace hawthornlug::testing
