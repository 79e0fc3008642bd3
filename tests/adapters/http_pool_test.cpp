/// @file
/// Blocking calls over pooled connections: their reuse, and responses without end.

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

/// Accepts one connection, and sends a start and then blocks of one text until the client closes.
class LongResponse
{
public:
  LongResponse(std::string aStart, const std::string& aRest, std::size_t aBlocks = kBlocks)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mStart(std::move(aStart))
    , mBlocks(aBlocks)
  {
    while (mBlock.size() < kBlockBytes) {
      mBlock += aRest;
    }
    mThread = std::thread([this] { Send(); });
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
    asio::write(socket, asio::buffer(mStart), ec);
    for (std::size_t n = 0; n < mBlocks && !ec; ++n) {
      mSent += asio::write(socket, asio::buffer(mBlock), ec);
    }
  }

  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::string mStart;
  std::string mBlock;
  std::size_t mBlocks;
  std::atomic<std::size_t> mSent = 0;
  std::thread mThread;
};

/// Answers each connection's requests, as many as it is told, and then closes it.
class CountingServer
{
public:
  explicit CountingServer(std::size_t aRequestsPerConnection)
    : mAcceptor(mContext, { asio::ip::address_v4::loopback(), 0 })
    , mRequestsPerConnection(aRequestsPerConnection)
    , mThread([this] { Accept(); })
  {
  }
  ~CountingServer()
  {
    mEnding = true;
    asio::error_code ec;
    tcp::socket(mContext).connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
  }
  CountingServer(const CountingServer&) = delete;
  CountingServer& operator=(const CountingServer&) = delete;

  std::string Port() const { return std::to_string(mAcceptor.local_endpoint().port()); }
  std::size_t Connections() const { return mConnections; }

private:
  void Accept()
  {
    while (true) {
      tcp::socket socket(mContext);
      mAcceptor.accept(socket);
      if (mEnding) {
        return;
      }
      ++mConnections;
      Answer(socket);
    }
  }

  void Answer(tcp::socket& aSocket) const
  {
    std::string received;
    for (std::size_t n = 0; n < mRequestsPerConnection; ++n) {
      asio::error_code ec;
      const std::size_t size =
        asio::read_until(aSocket, asio::dynamic_buffer(received), "\r\n\r\n", ec);
      if (ec) {
        return;
      }
      received.erase(0, size);
      asio::write(aSocket, asio::buffer(kAnswer), ec);
    }
  }

  static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  const std::size_t mRequestsPerConnection;
  std::atomic<bool> mEnding = false;
  std::atomic<std::size_t> mConnections = 0;
  std::thread mThread;
};

http::Request MakeGetRequest()
{
  http::Request request;
  request.method = "GET";
  request.target = "/x";
  return request;
}

} // namespace

TEST_CASE("a pooled connection is used again until its server closes it", "[adapters]")
{
  const std::string host = GENERATE(as<std::string>(), "127.0.0.1", "localhost");
  CountingServer server(2);
  HttpPool pool("http://" + host + ":" + server.Port(), 1);
  for (int n = 0; n < 4; ++n) {
    INFO("call " << n);
    const http::CallOutcome outcome = pool.Send(MakeGetRequest(), seconds(5));
    CHECK(outcome.result == http::CallResult::kAnswered);
    CHECK(outcome.response.body == "ok");
    CHECK(outcome.reused == (n % 2 == 1));
    // The end of the connection has to arrive before the next call.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(server.Connections() == 2);
}

TEST_CASE("a pooled call that can't be sent is told from one without an answer", "[adapters]")
{
  asio::io_context context;
  tcp::acceptor silent(context, { asio::ip::address_v4::loopback(), 0 });
  const std::string url =
    "http://127.0.0.1:" + std::to_string(silent.local_endpoint().port()) + "/";
  HttpPool pool(url, 1);
  CHECK(pool.Send(MakeGetRequest(), milliseconds(100)).result == http::CallResult::kTimedOut);
  silent.close();
  CHECK(pool.Send(MakeGetRequest(), milliseconds(100)).result == http::CallResult::kRefused);
  HttpPool noAddress("http://127.0.0.1:no-port", 1);
  CHECK(noAddress.Send(MakeGetRequest(), milliseconds(100)).result == http::CallResult::kNotSent);
}

TEST_CASE("a pooled call gives up a response without end", "[adapters][reports]")
{
  const std::string head = GENERATE(as<std::string>(),
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
  LongResponse server(head, "x");
  HttpPool pool(server.Url(), 1);
  CHECK(pool.Send(MakeGetRequest(), seconds(5)).result != http::CallResult::kAnswered);
  CHECK(server.Sent() < kBlocks * kBlockBytes / 2);
}

// Guards against a process that runs out of memory by a response whose head has no end.
TEST_CASE("a pooled call gives up a head without end", "[adapters][reports]")
{
  struct Row
  {
    std::string name;
    std::string start;
    std::string rest;
  };
  const auto row = GENERATE(values<Row>({
    { "bytes that are no head", "", "x" },
    { "a head of one field", "HTTP/1.1 200 OK\r\nA: ", "b" },
    { "a head of many fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  }));
  INFO(row.name);
  // Twice what the buffers of both sockets may take.
  constexpr std::size_t kHeadBlocks = 512;
  LongResponse server(row.start, row.rest, kHeadBlocks);
  HttpPool pool(server.Url(), 1);
  CHECK(pool.Send(MakeGetRequest(), seconds(5)).result != http::CallResult::kAnswered);
  CHECK(server.Sent() < kHeadBlocks * kBlockBytes / 2);
}
