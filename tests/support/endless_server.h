/// @file
/// A faulty backend server, for tests: whatever it is asked, its answer has no end.
#pragma once

#include <array>
#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hawthornlug::testing {

/// One way in which an answer has no end: the bytes with which it starts, and those that follow
/// over and over.
struct EndlessForm
{
  std::string name;
  std::string start;
  std::string rest;
  /// Whether its bytes have to be kept by who reads the answer.
  bool fillsMemory = false;
  /// Time between two blocks of bytes; 0 for as fast as they are read.
  std::chrono::milliseconds pause{ 0 };
};

/// All forms, each as fast as it is read.
const std::vector<EndlessForm>& EndlessForms();

/// Accepts connections, and sends an answer without end to the first request on each, until the
/// client closes it.
class EndlessServer
{
public:
  /// Listens on @p aEndpoint; port 0 stands for any free port.
  EndlessServer(asio::io_context& aContext,
                EndlessForm aForm,
                const asio::ip::tcp::endpoint& aEndpoint = { asio::ip::address_v4::loopback(), 0 });

  /// Address and port, such as "127.0.0.1:80".
  std::string Address() const;
  /// Number of answers that were begun, and of those that the client has ended.
  std::size_t Begun() const { return mBegun; }
  std::size_t Ended() const { return mEnded; }

private:
  struct Peer
  {
    explicit Peer(asio::ip::tcp::socket aSocket)
      : socket(std::move(aSocket))
      , timer(socket.get_executor())
    {
    }
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> request{};
  };

  void Accept();
  void Begin(const std::shared_ptr<Peer>& aPeer);
  void SendOn(const std::shared_ptr<Peer>& aPeer);

  EndlessForm mForm;
  std::string mBlock;
  asio::ip::tcp::acceptor mAcceptor;
  std::size_t mBegun = 0;
  std::size_t mEnded = 0;
};

} // namespace hawthornlug::testing
