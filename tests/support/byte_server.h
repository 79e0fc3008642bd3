/// @file
/// A backend server whose answers the test gives byte by byte.
#pragma once

#include <array>
#include <asio.hpp>
#include <string>
#include <vector>

namespace hawthornlug::testing {

/// Accepts one connection and sends, for each request, the bytes that the test has set for it;
/// closes the connection after the last of them.
class ByteServer
{
public:
  ByteServer(asio::io_context& aContext, std::vector<std::string> aAnswers)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mSocket(aContext)
    , mAnswers(std::move(aAnswers))
  {
    mAcceptor.async_accept(mSocket, [this](const asio::error_code& aError) {
      if (!aError) {
        Read();
      }
    });
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  void Read()
  {
    mSocket.async_read_some(asio::buffer(mBuffer),
                            [this](const asio::error_code& aError, std::size_t) {
                              if (aError || mAnswered >= mAnswers.size()) {
                                return;
                              }
                              asio::write(mSocket, asio::buffer(mAnswers[mAnswered++]));
                              if (mAnswered == mAnswers.size()) {
                                mSocket.close();
                                return;
                              }
                              Read();
                            });
  }

  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  std::vector<std::string> mAnswers;
  std::size_t mAnswered = 0;
  std::array<char, 4096> mBuffer{};
};

} // namespace hawthornlug::testing
