/// @file
/// Messages between daemons over loopback: what is malformed, or interrupts the receiving thread,
/// does not end it.

#include "adapters/zmq_peers.h"
#include "tests/support/loopback.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <sys/syscall.h>
#include <thread>
#include <unistd.h>

using namespace hawthornlug;
using namespace hawthornlug::testing;

namespace {

std::string FreeAddress()
{
  asio::io_context context;
  return "tcp://127.0.0.1:" + std::to_string(FreeEndpoint(context).port());
}

wire::Envelope Message(const std::string& aSender)
{
  wire::Envelope message;
  message.mutable_from()->set_id(aSender);
  return message;
}

/// Sends messages until the receiver has got one more, for kLongest at most.
bool IsReceived(ZmqPeers& aSender, const std::string& aAddress, const std::atomic<int>& aReceived)
{
  const int before = aReceived;
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (aReceived == before && std::chrono::steady_clock::now() < end) {
    aSender.Send(aAddress, Message("sender"), Delivery::kSoon, nullptr);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return aReceived > before;
}

/// Interrupts the system calls of all threads of this process but the calling one.
void InterruptOtherThreads()
{
  struct sigaction action
  {};
  action.sa_handler = [](int) {};
  ::sigaction(SIGUSR1, &action, nullptr);
  for (const auto& it : std::filesystem::directory_iterator("/proc/self/task")) {
    const long thread = std::stol(it.path().filename().string());
    if (thread != ::syscall(SYS_gettid)) {
      ::syscall(SYS_tgkill, ::getpid(), thread, SIGUSR1);
    }
  }
}

} // namespace

TEST_CASE("a thread that receives messages outlives signals, garbage and failing receivers",
          "[adapters][reports]")
{
  const std::string address = FreeAddress();
  std::atomic<int> received = 0;
  std::atomic<bool> throws = false;
  ZmqPeers receiver(address);
  receiver.SetReceiver([&](const wire::Envelope&) {
    ++received;
    if (throws.exchange(false)) {
      throw std::runtime_error("thrown on purpose");
    }
  });
  ZmqPeers sender(FreeAddress());
  REQUIRE(IsReceived(sender, address, received));
  SECTION("a signal interrupts its wait")
  {
    for (int n = 0; n < 5; ++n) {
      InterruptOtherThreads();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  SECTION("the receiver throws")
  {
    throws = true;
    REQUIRE(IsReceived(sender, address, received));
  }
  SECTION("garbage arrives")
  {
    zmq::context_t context(1);
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 200);
    socket.connect(address);
    const std::vector<std::string> garbage = { "", std::string(300, '\xff'), std::string(2, '\0') };
    for (const std::string& bytes : garbage) {
      socket.send(zmq::buffer(bytes), zmq::send_flags::none);
      socket.send(zmq::buffer(bytes), zmq::send_flags::sndmore);
      socket.send(zmq::buffer(bytes), zmq::send_flags::none);
    }
  }
  CHECK(IsReceived(sender, address, received));
}
