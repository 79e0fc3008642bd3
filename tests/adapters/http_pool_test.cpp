/// @file
/// Calls over pooled connections to a server whose response has no end.

#include "adapters/http_pool.h"

#include <catch2/catch.hpp>

#include <asio.hpp>
#include <atomic>
#include <thread>

using namespace hawthornlug;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBlockBytes = 65536;
/// More than any bound, and an end, so that the test ends whatever the pool does.
constexpr std::size_t kBlocks = 4000;

/// Accepts one connection and sends a head and blocks of its body until the client closes.
class LongResponse
{
public:
  explicit LongResponse(std::string aHead)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mHead(std::move(aHead))
    , mThread([this] { Send(); })
  {
  }
  ~LongResponse() { mThread.join(); }
  LongResponse(const LongResponse&) = delete;
  LongResponse& operator=(const LongResponse&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  std::size_t Sent() const { return mSent; }

private:
  void Send()
  {
    tcp::socket socket(mContext);
    asio::error_code ec;
    mAcceptor.accept(socket, ec);
    asio::write(socket, asio::buffer(mHead), ec);
    const std::string block(kBlockBytes, 'x');
    for (std::size_t n = 0; n < kBlocks && !ec; ++n) {
      mSent += asio::write(socket, asio::buffer(block), ec);
    }
  }

  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::string mHead;
  std::atomic<std::size_t> mSent = 0;
  std::thread mThread;
};

} // namespace

TEST_CASE("a pooled call gives up a response without end", "[adapters][reports]")
{
  const std::string head = GENERATE(as<std::string>(),
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
  LongResponse server(head);
  HttpPool pool(server.Url(), 1, seconds(1));
  httplib::Request request;
  request.method = "GET";
  request.path = "/x";
  CHECK_FALSE(pool.Send(request, seconds(5)));
  CHECK(server.Sent() < kBlocks * kBlockBytes / 2);
}
