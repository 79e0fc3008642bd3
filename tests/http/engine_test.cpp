/// @file
/// The HTTP server and client over loopback sockets: order, cancellation, bad peers.

#include "http/client.h"
#include "http/server.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::http;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

/// Keeps requests until the test answers them.
class Keeper : public Handler
{
public:
  void OnRequest(std::shared_ptr<Exchange> aExchange) override
  {
    const std::size_t n = exchanges.size();
    aExchange->SetAbandoned([this, n] { abandoned.push_back(n); });
    exchanges.push_back(std::move(aExchange));
  }
  void OnBadRequest(int aStatus, ReadState) override { refused.push_back(aStatus); }

  void Answer(std::size_t aIndex, const std::string& aBody) const
  {
    Response response;
    response.status = 200;
    response.body = aBody;
    exchanges.at(aIndex)->Respond(response);
  }

  std::vector<std::shared_ptr<Exchange>> exchanges;
  std::vector<std::size_t> abandoned;
  std::vector<int> refused;
};

/// A connection on which a test writes and reads bytes.
class Raw
{
public:
  Raw(asio::io_context& aContext, const Tcp::endpoint& aEndpoint)
    : mSocket(aContext)
  {
    mSocket.connect(aEndpoint);
    mSocket.non_blocking(true);
  }

  void Write(const std::string& aBytes) { asio::write(mSocket, asio::buffer(aBytes)); }

  /// What has come so far; notes the end of the connection.
  const std::string& Read()
  {
    std::array<char, 4096> buf{};
    asio::error_code ec;
    const std::size_t n = mSocket.read_some(asio::buffer(buf), ec);
    mBytes.append(buf.data(), n);
    ended = ended || (ec && ec != asio::error::would_block);
    return mBytes;
  }
  void Close() { mSocket.close(); }

  bool ended = false;

private:
  Tcp::socket mSocket;
  std::string mBytes;
};

/// A server that does what a test says with the bytes that come.
class Scripted
{
public:
  using Script = std::function<void(Tcp::socket&, std::size_t)>;

  Scripted(asio::io_context& aContext, Script aScript)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mScript(std::move(aScript))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  std::size_t Accepted() const { return mSockets.size(); }

private:
  struct Peer
  {
    explicit Peer(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    std::array<char, 4096> buf{};
    std::size_t requests = 0;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      mSockets.push_back(std::make_shared<Peer>(std::move(aSocket)));
      Read(mSockets.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<Peer>& aPeer)
  {
    aPeer->socket.async_read_some(asio::buffer(aPeer->buf),
                                  [this, aPeer](const asio::error_code& aError, std::size_t) {
                                    if (aError) {
                                      return;
                                    }
                                    mScript(aPeer->socket, aPeer->requests++);
                                    if (aPeer->socket.is_open()) {
                                      Read(aPeer);
                                    }
                                  });
  }

  Tcp::acceptor mAcceptor;
  Script mScript;
  std::vector<std::shared_ptr<Peer>> mSockets;
};

Request Get()
{
  Request request;
  request.method = "GET";
  request.target = "/";
  request.headers.Add("Host", "x");
  request.headers.Add("Id", "mine");
  return request;
}

struct BadAnswer
{
  std::string name;
  std::string bytes;
  bool closes;
  CallResult result;
};

} // namespace

TEST_CASE("answers leave in the order of their requests", "[http]")
{
  asio::io_context context;
  Keeper keeper;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, keeper);
  Raw caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return keeper.exchanges.size() == 2; }));
  keeper.Answer(1, "second");
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  CHECK(caller.Read().empty());
  keeper.Answer(0, "first");
  REQUIRE(RunUntil(context, [&] { return caller.Read().find("second") != std::string::npos; }));
  CHECK(caller.Read().find("first") < caller.Read().find("second"));
}

TEST_CASE("a caller that leaves is noticed", "[http]")
{
  asio::io_context context;
  Keeper keeper;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, keeper);
  Raw caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return keeper.exchanges.size() == 1; }));
  caller.Close();
  CHECK(RunUntil(context, [&] { return keeper.abandoned.size() == 1; }));
}

TEST_CASE("what is no request is answered and the connection closed", "[http]")
{
  struct Row
  {
    std::string bytes;
    std::string status;
  };
  const auto row = GENERATE(values<Row>({
    { "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\nHost: " + std::string(3000, 'x') + "\r\n\r\n", "431" },
    { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413" },
    { "GET / HTTP/1.1\r\nHost:", "408" },
  }));
  INFO(row.status);
  asio::io_context context;
  Keeper keeper;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, keeper);
  ServerLimits limits;
  limits.read = { 2048, 4096 };
  limits.headerTimeout = milliseconds(100);
  server.SetLimits(limits);
  Raw caller(context, endpoint);
  caller.Write(row.bytes);
  REQUIRE(RunUntil(context, [&] {
    caller.Read();
    return caller.ended;
  }));
  CHECK(caller.Read().starts_with("HTTP/1.1 " + row.status));
  CHECK(caller.Read().find("Connection: close") != std::string::npos);
  CHECK(keeper.exchanges.empty());
  CHECK(keeper.refused == std::vector<int>{ std::stoi(row.status) });
}

TEST_CASE("a draining server answers what it has and closes behind it", "[http]")
{
  asio::io_context context;
  Keeper keeper;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, keeper);
  Raw caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return keeper.exchanges.size() == 1; }));
  server.Drain();
  CHECK(server.Unanswered() == 1);
  keeper.Answer(0, "whole");
  REQUIRE(RunUntil(context, [&] {
    caller.Read();
    return caller.ended;
  }));
  CHECK(caller.Read().find("Connection: close") != std::string::npos);
  CHECK(caller.Read().ends_with("whole"));
}

TEST_CASE("bytes that are no whole answer to this call are no answer", "[http]")
{
  const std::string ok = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";
  const std::string other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno";
  const auto row = GENERATE_COPY(values<BadAnswer>({
    { "whole", ok, false, CallResult::kAnswered },
    { "behind an answer to another call", other + ok, false, CallResult::kAnswered },
    { "behind an interim answer",
      "HTTP/1.1 100 Continue\r\n\r\n" + ok,
      false,
      CallResult::kAnswered },
    { "to another call only", other, true, CallResult::kBroken },
    { "cut short", ok.substr(0, ok.size() - 1), true, CallResult::kBroken },
    { "no answer", "hello\r\n\r\n", false, CallResult::kBroken },
    { "nothing", "", true, CallResult::kBroken },
    { "never", "", false, CallResult::kTimedOut },
    { "two lengths",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      false,
      CallResult::kBroken },
  }));
  INFO(row.name);
  asio::io_context context;
  Scripted server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket, asio::buffer(row.bytes));
    if (row.closes) {
      aSocket.close();
    }
  });
  Client client(context);
  CallOptions options;
  options.timeout = milliseconds(200);
  options.echoHeader = "Id";
  options.echoValue = "mine";
  std::optional<CallOutcome> outcome;
  client.Send(
    server.Address(), Get(), options, [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(NameOf(kCallResultNames, outcome->result) == NameOf(kCallResultNames, row.result));
  if (row.result == CallResult::kAnswered) {
    CHECK(outcome->response.body == "ok");
  }
}

TEST_CASE("a connection is kept only behind a clean answer", "[http]")
{
  struct Row
  {
    std::string name;
    std::string more;
    std::size_t connections;
  };
  const auto row = GENERATE(values<Row>({
    { "clean", "", 1 },
    { "asked to close", "Connection: close\r\n", 2 },
    { "short idle time", "Keep-Alive: timeout=1\r\n", 2 },
  }));
  INFO(row.name);
  asio::io_context context;
  Scripted server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket,
                asio::buffer("HTTP/1.1 200 OK\r\n" + row.more + "Content-Length: 0\r\n\r\n"));
  });
  Client client(context);
  unsigned answers = 0;
  for (unsigned n = 1; n <= 2; ++n) {
    client.Send(server.Address(), Get(), {}, [&](const CallOutcome& aOutcome) {
      answers += aOutcome.result == CallResult::kAnswered ? 1 : 0;
    });
    REQUIRE(RunUntil(context, [&] { return answers == n; }));
  }
  CHECK(server.Accepted() == row.connections);
}

TEST_CASE("bytes behind an answer spoil the connection", "[http]")
{
  asio::io_context context;
  Scripted server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nextra")));
  });
  Client client(context);
  unsigned answers = 0;
  for (unsigned n = 1; n <= 2; ++n) {
    client.Send(server.Address(), Get(), {}, [&](const CallOutcome& aOutcome) {
      answers += aOutcome.result == CallResult::kAnswered ? 1 : 0;
    });
    REQUIRE(RunUntil(context, [&] { return answers == n; }));
  }
  CHECK(server.Accepted() == 2);
}

TEST_CASE("a call that is given up is reset, so that its bytes are not delivered later", "[http]")
{
  asio::io_context context;
  asio::error_code seen;
  Tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  Client client(context);
  CallOptions options;
  options.timeout = milliseconds(100);
  bool failed = false;
  client.Send(
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
    Get(),
    options,
    [&](const CallOutcome& aOutcome) { failed = aOutcome.result == CallResult::kTimedOut; });
  Tcp::socket peer = acceptor.accept();
  REQUIRE(RunUntil(context, [&] { return failed; }));
  std::array<char, 4096> buf{};
  while (!seen) {
    peer.read_some(asio::buffer(buf), seen);
  }
  CHECK(seen == asio::error::connection_reset);
}

TEST_CASE("a port at which nobody listens is told from silence", "[http]")
{
  asio::io_context context;
  const auto endpoint = FreeEndpoint(context);
  Client client(context);
  std::optional<CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(endpoint.port()), Get(), {}, [&](CallOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == CallResult::kRefused);
}

TEST_CASE("a cancelled call is never completed", "[http]")
{
  asio::io_context context;
  Scripted server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  });
  Client client(context);
  bool done = false;
  const auto call =
    client.Send(server.Address(), Get(), {}, [&](const CallOutcome&) { done = true; });
  call->Cancel();
  context.run_for(std::chrono::milliseconds(50));
  CHECK_FALSE(done);
}

TEST_CASE("large bodies beyond the memory for them are refused, small requests served", "[http]")
{
  constexpr std::size_t kLarge = 100000;
  asio::io_context context;
  Keeper keeper;
  const Tcp::endpoint endpoint = FreeEndpoint(context);
  Server server(context, endpoint, keeper);
  ServerLimits limits;
  limits.heldBytes = kLarge + kLarge / 2;
  server.SetLimits(limits);
  const std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: ";
  const std::string large = head + std::to_string(kLarge) + "\r\n\r\n" + std::string(kLarge, 'a');
  Raw first(context, endpoint);
  first.Write(large);
  REQUIRE(RunUntil(context, [&] { return keeper.exchanges.size() == 1; }));
  CHECK(server.HeldBytes() >= kLarge);
  Raw second(context, endpoint);
  second.Write(large);
  CHECK(RunUntil(context, [&] { return second.Read().find("HTTP/1.1 503") == 0; }));
  CHECK(keeper.exchanges.size() == 1);
  Raw third(context, endpoint);
  third.Write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return keeper.exchanges.size() == 2; }));
  keeper.Answer(1, "small");
  CHECK(RunUntil(context, [&] { return third.Read().find("small") != std::string::npos; }));
  keeper.Answer(0, "done");
  CHECK(RunUntil(context, [&] { return first.Read().find("done") != std::string::npos; }));
  first.Close();
  second.Close();
  third.Close();
  CHECK(RunUntil(context, [&] { return server.HeldBytes() == 0; }));
}
