/// @file
/// Minimal blocking HTTP/1.1 over TCP for the stand-ins: one thread a connection, loopback only.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// A TCP address on the loopback network.
struct Address
{
  std::string ip = "127.0.0.1";
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }

  sockaddr_in Native() const
  {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &native.sin_addr);
    return native;
  }
};

/// An HTTP message; first is the request line or the status line.
struct Message
{
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Get(const char* aName) const
  {
    for (const auto& [name, value] : headers) {
      if (::strcasecmp(name.c_str(), aName) == 0) {
        return value;
      }
    }
    return "";
  }

  /// Word @p aIndex of the first line.
  std::string Word(int aIndex) const
  {
    std::size_t at = 0;
    for (int n = 0; n < aIndex; ++n) {
      at = first.find(' ', at);
      if (at == std::string::npos) {
        return "";
      }
      ++at;
    }
    return first.substr(at, first.find(' ', at) - at);
  }

  int Status() const { return std::atoi(Word(1).c_str()); }

  std::string Serialize() const
  {
    std::string text = first + "\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

inline Message MakeResponse(int aStatus, std::string aBody = "")
{
  Message response;
  response.first = "HTTP/1.1 " + std::to_string(aStatus) + " Status";
  response.body = std::move(aBody);
  return response;
}

/// A socket that is closed with its owner.
class Socket
{
public:
  explicit Socket(int aFd = -1)
    : mFd(aFd)
  {
  }
  Socket(Socket&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
    , mBuffer(std::move(aOther.mBuffer))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    Close();
    mFd = std::exchange(aOther.mFd, -1);
    mBuffer = std::move(aOther.mBuffer);
    return *this;
  }
  ~Socket() { Close(); }

  static Socket Listen(const Address& aAddress)
  {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int one = 1;
    ::setsockopt(socket.mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in native = aAddress.Native();
    if (::bind(socket.mFd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
        ::listen(socket.mFd, 256) != 0) {
      throw std::runtime_error("cannot listen on " + aAddress.Text());
    }
    return socket;
  }

  static std::optional<Socket> Connect(const Address& aAddress)
  {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in native = aAddress.Native();
    if (::connect(socket.mFd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
      return std::nullopt;
    }
    socket.SetNoDelay();
    return socket;
  }

  /// Waits for a connection; nothing if none came within @p aWait.
  std::optional<Socket> Accept(Millis aWait)
  {
    if (!IsReadable(aWait)) {
      return std::nullopt;
    }
    const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return std::nullopt;
    }
    Socket socket(fd);
    socket.SetNoDelay();
    return socket;
  }

  bool IsReadable(Millis aWait) const
  {
    pollfd it{ mFd, POLLIN, 0 };
    return ::poll(&it, 1, static_cast<int>(aWait.count())) > 0;
  }

  /// Whether the peer has closed the connection.
  bool HasPeerLeft() const
  {
    pollfd it{ mFd, POLLRDHUP, 0 };
    return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n = ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads one message with a length; nothing at the end of the stream or after @p aWait.
  std::optional<Message> Receive(Clock::time_point aUntil)
  {
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    Message message = ParseHead(mBuffer.substr(0, end + 2));
    mBuffer.erase(0, end + 4);
    const std::size_t length = std::strtoul(message.Get("Content-Length").c_str(), nullptr, 10);
    while (mBuffer.size() < length) {
      if (!Fill(aUntil)) {
        return std::nullopt;
      }
    }
    message.body = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return message;
  }

  /// Whether the last Receive() ended because the peer closed the connection.
  bool HasEnded() const { return mEnded; }

  void Close()
  {
    if (mFd >= 0) {
      ::close(mFd);
    }
    mFd = -1;
  }

  /// Closes the connection with a TCP reset, as the end of a process with unread bytes does.
  void Reset()
  {
    const linger option{ 1, 0 };
    ::setsockopt(mFd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    Close();
  }

private:
  void SetNoDelay() const
  {
    const int one = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }

  bool Fill(Clock::time_point aUntil)
  {
    const auto left = std::chrono::duration_cast<Millis>(aUntil - Clock::now());
    if (left.count() <= 0 || !IsReadable(left)) {
      return false;
    }
    char buf[16384];
    const ssize_t n = ::recv(mFd, buf, sizeof buf, 0);
    if (n <= 0) {
      mEnded = true;
      return false;
    }
    mBuffer.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  static Message ParseHead(const std::string& aHead)
  {
    Message message;
    std::size_t at = aHead.find("\r\n");
    message.first = aHead.substr(0, at);
    while (at + 2 < aHead.size()) {
      const std::size_t start = at + 2;
      at = aHead.find("\r\n", start);
      const std::size_t colon = aHead.find(':', start);
      std::size_t value = colon + 1;
      while (value < at && aHead[value] == ' ') {
        ++value;
      }
      message.headers.emplace_back(aHead.substr(start, colon - start),
                                   aHead.substr(value, at - value));
    }
    return message;
  }

  int mFd;
  std::string mBuffer;
  bool mEnded = false;
};

} // namespace review
