#include "tests/support/port_range.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hawthornlug::testing {

namespace {

/// All ranges lie above the ports of scripts/demo and below those that Linux gives to outgoing
/// connections (from 32768).
constexpr int kFirstPort = 18000;
constexpr int kRanges = 147;

/// Whether each port of a range can be listened on, also by servers that don't ask for the reuse of
/// ports whose last connections the system still keeps (cpp-httplib's).
bool IsFree(int aFirstPort)
{
  for (int port = aFirstPort; port < aFirstPort + PortRange::kPorts; ++port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int failed = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ::close(fd);
    if (failed != 0) {
      return false;
    }
  }
  return true;
}

/// The descriptor of a locked file that stands for a range; -1 if another holds the lock. The lock
/// ends with the process.
int Lock(int aFirstPort)
{
  const auto folder = std::filesystem::temp_directory_path() / "hawthornlug-ports";
  std::filesystem::create_directories(folder);
  const auto file = folder / std::to_string(aFirstPort);
  const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (fd < 0) {
    throw std::runtime_error("can't open " + file.string());
  }
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

} // namespace

PortRange::PortRange()
{
  for (int n = 0; n < kRanges; ++n) {
    mFirst = kFirstPort + n * kPorts;
    mLock = Lock(mFirst);
    if (mLock < 0) {
      continue;
    }
    if (IsFree(mFirst)) {
      return;
    }
    ::close(mLock);
  }
  throw std::runtime_error("no free ports");
}

PortRange::~PortRange()
{
  ::close(mLock);
}

std::string PortRange::NextAddress()
{
  if (mGiven == kPorts) {
    throw std::out_of_range("all ports of the range are in use");
  }
  return "127.0.0.1:" + std::to_string(mFirst + mGiven++);
}

} // namespace hawthornlug::testing
