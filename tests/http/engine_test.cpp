/// @file
/// The HTTP server and client over loopback sockets: order of responses, cancellation, faulty
/// peers.

#include "http/client.h"
#include "http/server.h"
#include "tests/support/byte_server.h"
#include "tests/support/endless_server.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace hawthornlug;
using namespace hawthornlug::http;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

/// Stores requests until the test answers them.
class StoringHandler : public Handler
{
public:
  void OnRequest(std::shared_ptr<Exchange> aExchange) override
  {
    const std::size_t n = exchanges.size();
    aExchange->SetAbandoned([this, n] { abandoned.push_back(n); });
    exchanges.push_back(std::move(aExchange));
  }
  void OnBadRequest(int aStatus, ReadState) override { refused.push_back(aStatus); }
  void OnUnreadResponse(std::size_t aBytes) override { unread.push_back(aBytes); }
  void OnMalformedResponse(int aStatus) override { malformed.push_back(aStatus); }

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
  std::vector<std::size_t> unread;
  std::vector<int> malformed;
};

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t n = 0; n < aTimes; ++n) {
    text += aText;
  }
  return text;
}

/// A client connection on which a test writes and reads raw bytes.
class RawConnection
{
public:
  RawConnection(asio::io_context& aContext, const Tcp::endpoint& aEndpoint)
    : mSocket(aContext)
  {
    mSocket.connect(aEndpoint);
    mSocket.non_blocking(true);
  }

  void Write(const std::string& aBytes) { asio::write(mSocket, asio::buffer(aBytes)); }

  /// Returns all bytes received so far; sets `ended` when the connection has ended.
  const std::string& Read()
  {
    std::array<char, 4096> buf{};
    asio::error_code ec;
    const std::size_t n = mSocket.read_some(asio::buffer(buf), ec);
    mReceived.append(buf.data(), n);
    ended = ended || (ec && ec != asio::error::would_block);
    return mReceived;
  }
  void Close() { mSocket.close(); }

  bool ended = false;

private:
  Tcp::socket mSocket;
  std::string mReceived;
};

/// A server that calls a function of the test for each block of bytes received. The function gets
/// the socket and the number of earlier blocks on it.
class ScriptedServer
{
public:
  using Script = std::function<void(Tcp::socket&, std::size_t)>;

  ScriptedServer(asio::io_context& aContext, Script aScript)
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

Request MakeGetRequest()
{
  Request request;
  request.method = "GET";
  request.target = "/";
  request.headers.Add("Host", "x");
  request.headers.Add("Id", "mine");
  return request;
}

struct ResponseCase
{
  std::string name;
  std::string bytes;
  bool closes;
  CallResult result;
};

} // namespace

TEST_CASE("responses are written in the order of their requests", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  RawConnection caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 2; }));
  handler.Answer(1, "second");
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  CHECK(caller.Read().empty());
  handler.Answer(0, "first");
  REQUIRE(RunUntil(context, [&] { return caller.Read().find("second") != std::string::npos; }));
  CHECK(caller.Read().find("first") < caller.Read().find("second"));
}

TEST_CASE("a request is abandoned when its caller closes the connection", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  RawConnection caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  caller.Close();
  CHECK(RunUntil(context, [&] { return handler.abandoned.size() == 1; }));
}

TEST_CASE("a server that is destroyed leaves no handler behind on the event loop", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  auto server = std::make_unique<Server>(context, endpoint, handler);
  RawConnection caller(context, endpoint);
  context.run_for(std::chrono::milliseconds(20));
  server.reset();
  context.restart();
  // What was pending when the server was destroyed ends now; none of it may use the server.
  context.run_for(std::chrono::milliseconds(20));
  CHECK(handler.exchanges.empty());
}

TEST_CASE("a request whose caller has left before it is read is not handled", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  {
    RawConnection caller(context, endpoint);
    caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.Close();
  }
  RawConnection other(context, endpoint);
  other.Write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return !handler.exchanges.empty(); }));
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  REQUIRE(handler.exchanges.size() == 1);
  CHECK(handler.exchanges[0]->Received().target == "/2");
}

TEST_CASE("a request whose handler throws is answered with 500, and later ones are served",
          "[http][reports]")
{
  /// Throws at the first request.
  class FailingHandler : public StoringHandler
  {
  public:
    void OnRequest(std::shared_ptr<Exchange> aExchange) override
    {
      StoringHandler::OnRequest(aExchange);
      if (exchanges.size() == 1) {
        throw std::runtime_error("thrown on purpose");
      }
    }
  };
  asio::io_context context;
  FailingHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  RawConnection first(context, endpoint);
  first.Write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto run = [&](const auto& aDone) {
    while (true) {
      try {
        return RunUntil(context, aDone);
      } catch (const std::runtime_error&) {
        // The daemon's event loop reports it and goes on, too.
      }
    }
  };
  CHECK(run([&] { return first.Read().starts_with("HTTP/1.1 500 ") && first.ended; }));
  RawConnection second(context, endpoint);
  second.Write("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(run([&] { return handler.exchanges.size() == 2; }));
  handler.Answer(1, "ok");
  CHECK(run([&] { return second.Read().ends_with("ok"); }));
}

TEST_CASE("an invalid request is answered with an error status and its connection closed", "[http]")
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
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  ServerLimits limits;
  limits.read = { 2048, 4096 };
  limits.headerTimeout = milliseconds(100);
  server.SetLimits(limits);
  RawConnection caller(context, endpoint);
  caller.Write(row.bytes);
  REQUIRE(RunUntil(context, [&] {
    caller.Read();
    return caller.ended;
  }));
  CHECK(caller.Read().starts_with("HTTP/1.1 " + row.status));
  CHECK(caller.Read().find("Connection: close") != std::string::npos);
  CHECK(handler.exchanges.empty());
  CHECK(handler.refused == std::vector<int>{ std::stoi(row.status) });
}

TEST_CASE("a draining server answers a pending request and closes its connection", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  RawConnection caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  server.Drain();
  CHECK(server.Unanswered() == 1);
  handler.Answer(0, "whole");
  REQUIRE(RunUntil(context, [&] {
    caller.Read();
    return caller.ended;
  }));
  CHECK(caller.Read().find("Connection: close") != std::string::npos);
  CHECK(caller.Read().ends_with("whole"));
}

TEST_CASE("only a complete response to this call counts as its answer", "[http]")
{
  const std::string ok = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";
  const std::string other = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const auto row = GENERATE_COPY(values<ResponseCase>({
    { "complete", ok, false, CallResult::kAnswered },
    { "after a response to another call", other + ok, false, CallResult::kAnswered },
    { "after an interim response",
      "HTTP/1.1 100 Continue\r\n\r\n" + ok,
      false,
      CallResult::kAnswered },
    { "after 16 interim responses", Repeated(interim, 16) + ok, false, CallResult::kAnswered },
    { "after 17 interim responses", Repeated(interim, 17) + ok, false, CallResult::kBroken },
    { "response to another call only", other, true, CallResult::kBroken },
    { "truncated", ok.substr(0, ok.size() - 1), true, CallResult::kBroken },
    { "not HTTP", "hello\r\n\r\n", false, CallResult::kBroken },
    { "closed without a response", "", true, CallResult::kBroken },
    { "no response", "", false, CallResult::kTimedOut },
    { "two Content-Length fields",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      false,
      CallResult::kBroken },
  }));
  INFO(row.name);
  asio::io_context context;
  ScriptedServer server(context, [&](Tcp::socket& aSocket, std::size_t) {
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
  client.Send(server.Address(), MakeGetRequest(), options, [&](CallOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(NameOf(kCallResultNames, outcome->result) == NameOf(kCallResultNames, row.result));
  if (row.result == CallResult::kAnswered) {
    CHECK(outcome->response.body == "ok");
  }
}

TEST_CASE("a response without end is given up, and its connection closed", "[http]")
{
  const auto form = GENERATE(from_range(EndlessForms()));
  INFO(form.name);
  asio::io_context context;
  EndlessServer server(context, form);
  const std::size_t maxBody = std::size_t{ 1 } << 20;
  Client client(context, { 16384, { maxBody, std::size_t{ 1 } << 40 } });
  CallOptions options;
  options.timeout = seconds(4);
  std::optional<CallOutcome> outcome;
  client.Send(server.Address(), MakeGetRequest(), options, [&](CallOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  std::size_t most = 0;
  REQUIRE(RunUntil(context, [&] {
    most = std::max(most, client.BufferedBytes());
    return outcome.has_value() && server.Ended() > 0;
  }));
  // Ended by its size or its form, long before the timeout.
  const bool tooLarge = outcome->result == CallResult::kTooLarge;
  CHECK((tooLarge || (!form.fillsMemory && outcome->result == CallResult::kBroken)));
  CHECK(most <= maxBody);
  CHECK(client.BufferedBytes() == 0);
}

// Guards against a process that runs out of memory by answers none of which is too large.
TEST_CASE("many responses without end stay within the limit for all, and sound ones come through",
          "[http][reports]")
{
  const auto form = GENERATE(from_range(EndlessForms()));
  INFO(form.name);
  asio::io_context context;
  EndlessServer faulty(context, form);
  const std::string large(200000, 's');
  ScriptedServer sound(context, [&](Tcp::socket& aSocket, std::size_t) {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size());
    asio::write(aSocket, asio::buffer(head + "\r\n\r\n" + large));
  });
  constexpr std::size_t kAllBytes = std::size_t{ 2 } << 20;
  constexpr std::size_t kCalls = 40;
  Client client(context, { 16384, { kAllBytes / 2, kAllBytes } });
  CallOptions options;
  options.timeout = milliseconds(700);
  std::size_t faultyDone = 0;
  std::size_t soundDone = 0;
  for (std::size_t n = 0; n < kCalls; ++n) {
    client.Send(faulty.Address(), MakeGetRequest(), options, [&](const CallOutcome& aOutcome) {
      CHECK(aOutcome.result != CallResult::kAnswered);
      ++faultyDone;
    });
    if (n % 10 == 0) {
      client.Send(sound.Address(), MakeGetRequest(), options, [&](const CallOutcome& aOutcome) {
        CHECK(aOutcome.result == CallResult::kAnswered);
        CHECK(aOutcome.response.body == large);
        ++soundDone;
      });
    }
  }
  std::size_t most = 0;
  REQUIRE(RunUntil(context, [&] {
    most = std::max(most, client.BufferedBytes());
    return faultyDone == kCalls && soundDone == kCalls / 10;
  }));
  CHECK(most <= kAllBytes);
  CHECK(client.BufferedBytes() == 0);
}

TEST_CASE("responses that callers don't read are bounded, and other callers get theirs",
          "[http][reports]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  constexpr std::size_t kLimit = std::size_t{ 32 } << 20;
  ServerLimits limits;
  limits.heldBytes = kLimit;
  server.SetLimits(limits);
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  std::vector<std::unique_ptr<RawConnection>> silent;
  for (std::size_t n = 0; n < 8; ++n) {
    silent.push_back(std::make_unique<RawConnection>(context, endpoint));
    silent.back()->Write(request);
    REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == n + 1; }));
    // More than the sockets' buffers hold.
    handler.Answer(n, std::string(std::size_t{ 8 } << 20, 'x'));
    CHECK(server.BufferedBytes() <= kLimit);
  }
  CHECK_FALSE(handler.unread.empty());
  RawConnection reader(context, endpoint);
  reader.Write(request);
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 9; }));
  handler.Answer(8, "small");
  CHECK(RunUntil(context, [&] { return reader.Read().find("small") != std::string::npos; }));
}

/// Answers at once, with more than a server may hold.
class LargeAnswers : public Handler
{
public:
  void OnRequest(std::shared_ptr<Exchange> aExchange) override
  {
    Response response;
    response.status = 200;
    response.body.assign(std::size_t{ 1 } << 20, 'x');
    aExchange->Respond(response);
  }
  void OnBadRequest(int, ReadState) override {}
  void OnUnreadResponse(std::size_t) override { ++unread; }

  std::size_t unread = 0;
};

// Guards against a division by the number of connections when the last one has just been closed.
TEST_CASE("a response beyond the limit closes its own connection, and the server goes on", "[http]")
{
  asio::io_context context;
  LargeAnswers handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  ServerLimits limits;
  limits.heldBytes = 4096;
  server.SetLimits(limits);
  for (std::size_t n = 1; n <= 2; ++n) {
    RawConnection caller(context, endpoint);
    caller.Write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(RunUntil(context, [&] { return handler.unread == n; }));
  }
  CHECK(server.BufferedBytes() == 0);
}

TEST_CASE("a connection whose caller has stopped reading its response is closed", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  ServerLimits limits;
  limits.idleTimeout = milliseconds(300);
  server.SetLimits(limits);
  RawConnection silent(context, endpoint);
  silent.Write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  handler.Answer(0, std::string(std::size_t{ 16 } << 20, 'x'));
  REQUIRE(server.BufferedBytes() > 0);
  CHECK(RunUntil(context, [&] { return server.BufferedBytes() == 0; }));
  CHECK(handler.unread.size() == 1);
}

// Guards against LOST: a planned stop that ends the process in the middle of a request or answer.
TEST_CASE("a server is idle only when nothing would be cut off", "[http]")
{
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  server.Drain();
  CHECK(server.IsIdle());
  RawConnection caller(context, endpoint);
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";
  caller.Write(head);
  REQUIRE(RunUntil(context, [&] { return !server.IsIdle(); }));
  CHECK(server.Unanswered() == 0);
  caller.Write("body");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  CHECK_FALSE(server.IsIdle());
  handler.Answer(0, "done");
  REQUIRE(RunUntil(context, [&] { return caller.Read().find("done") != std::string::npos; }));
  REQUIRE(RunUntil(context, [&] { return server.Unanswered() == 0; }));
  // Until the caller has closed its side too, its answer may still be on its way.
  CHECK_FALSE(server.IsIdle());
  caller.Close();
  CHECK(RunUntil(context, [&] { return server.IsIdle(); }));
}

TEST_CASE("a connection is reused only if the server allows it", "[http]")
{
  struct Row
  {
    std::string name;
    std::string more;
    std::size_t connections;
  };
  const auto row = GENERATE(values<Row>({
    { "no restriction", "", 1 },
    { "Connection: close", "Connection: close\r\n", 2 },
    { "short keep-alive timeout", "Keep-Alive: timeout=1\r\n", 2 },
  }));
  INFO(row.name);
  asio::io_context context;
  ScriptedServer server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket,
                asio::buffer("HTTP/1.1 200 OK\r\n" + row.more + "Content-Length: 0\r\n\r\n"));
  });
  Client client(context);
  unsigned answers = 0;
  for (unsigned n = 1; n <= 2; ++n) {
    client.Send(server.Address(), MakeGetRequest(), {}, [&](const CallOutcome& aOutcome) {
      answers += aOutcome.result == CallResult::kAnswered ? 1 : 0;
    });
    REQUIRE(RunUntil(context, [&] { return answers == n; }));
  }
  CHECK(server.Accepted() == row.connections);
}

TEST_CASE("a connection with extra bytes after a response is not reused", "[http]")
{
  asio::io_context context;
  ScriptedServer server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nextra")));
  });
  Client client(context);
  unsigned answers = 0;
  for (unsigned n = 1; n <= 2; ++n) {
    client.Send(server.Address(), MakeGetRequest(), {}, [&](const CallOutcome& aOutcome) {
      answers += aOutcome.result == CallResult::kAnswered ? 1 : 0;
    });
    REQUIRE(RunUntil(context, [&] { return answers == n; }));
  }
  CHECK(server.Accepted() == 2);
}

TEST_CASE("a call that times out resets its connection, so that its bytes are not delivered later",
          "[http]")
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
    MakeGetRequest(),
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

TEST_CASE("a refused connection is distinguished from a timeout", "[http]")
{
  asio::io_context context;
  const auto endpoint = FreeEndpoint(context);
  Client client(context);
  std::optional<CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(endpoint.port()),
              MakeGetRequest(),
              {},
              [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == CallResult::kRefused);
}

TEST_CASE("a call whose new connection the server ends at once is known not to have been sent",
          "[http]")
{
  // A server that has too many connections resets new ones. Without the wait the request is on its
  // way by then, and nobody can tell whether it was run.
  struct Row
  {
    bool awaitAcceptance;
    bool withReset;
    CallResult result;
  };
  const auto row = GENERATE(values<Row>({
    { true, true, CallResult::kNotAccepted },
    { true, false, CallResult::kNotAccepted },
    { false, true, CallResult::kBroken },
  }));
  asio::io_context context;
  Tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  Tcp::socket peer(context);
  asio::steady_timer untilEnd(context);
  acceptor.async_accept(peer, [&](const asio::error_code&) {
    // The client has noticed by then that the connection is established.
    untilEnd.expires_after(std::chrono::microseconds(200));
    untilEnd.async_wait([&](const asio::error_code&) {
      peer.set_option(asio::socket_base::linger(row.withReset, 0));
      peer.close();
    });
  });
  Client client(context);
  CallOptions options;
  options.awaitAcceptance = row.awaitAcceptance;
  std::optional<CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              MakeGetRequest(),
              options,
              [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == row.result);
}

TEST_CASE("a call is not sent on a new connection that ended while this process was held up",
          "[http]")
{
  // By the time the process runs again, the wait for the connection is over and the server has
  // ended it; whether the end has been read is a matter of order.
  const bool withReset = GENERATE(true, false);
  INFO("with reset: " << withReset);
  asio::io_context context;
  Tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  Client client(context);
  CallOptions options;
  options.awaitAcceptance = true;
  std::optional<CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              MakeGetRequest(),
              options,
              [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  Tcp::socket peer = acceptor.accept();
  context.run_one(); // The client notices that the connection is established.
  REQUIRE_FALSE(outcome.has_value());
  asio::steady_timer untilEnd(context, std::chrono::steady_clock::time_point::min());
  untilEnd.async_wait([&](const asio::error_code&) {
    peer.set_option(asio::socket_base::linger(withReset, 0));
    peer.close();
  });
  std::this_thread::sleep_for(milliseconds(25)); // Longer than the client waits.
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == CallResult::kNotAccepted);
}

TEST_CASE("a call whose time ends while it awaits its connection is not sent", "[http]")
{
  // Sent at its deadline, it could run although its caller is told that it failed.
  asio::io_context context;
  Tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  Client client(context);
  CallOptions options;
  options.awaitAcceptance = true;
  options.timeout = std::chrono::microseconds(900);
  std::optional<CallOutcome> outcome;
  client.Send("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
              MakeGetRequest(),
              options,
              [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == CallResult::kNotSent);
}

TEST_CASE("a call on a new connection is sent once the server has had the time to end it", "[http]")
{
  asio::io_context context;
  testing::ByteServer server(context, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
  Client client(context);
  CallOptions options;
  options.awaitAcceptance = true;
  std::optional<CallOutcome> outcome;
  client.Send(server.Address(), MakeGetRequest(), options, [&](CallOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(outcome->result == CallResult::kAnswered);
  CHECK(outcome->response.body == "ok");
}

TEST_CASE("the completion of a cancelled call is not called", "[http]")
{
  asio::io_context context;
  ScriptedServer server(context, [&](Tcp::socket& aSocket, std::size_t) {
    asio::write(aSocket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  });
  Client client(context);
  bool done = false;
  const auto call =
    client.Send(server.Address(), MakeGetRequest(), {}, [&](const CallOutcome&) { done = true; });
  call->Cancel();
  context.run_for(std::chrono::milliseconds(50));
  CHECK_FALSE(done);
}

TEST_CASE("large bodies over the memory limit are refused, small requests are still served",
          "[http]")
{
  constexpr std::size_t kLarge = 100000;
  asio::io_context context;
  StoringHandler handler;
  const Tcp::endpoint endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  ServerLimits limits;
  limits.heldBytes = kLarge + kLarge / 2;
  server.SetLimits(limits);
  const std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: ";
  const std::string large = head + std::to_string(kLarge) + "\r\n\r\n" + std::string(kLarge, 'a');
  RawConnection first(context, endpoint);
  first.Write(large);
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  CHECK(server.BufferedBytes() >= kLarge);
  RawConnection second(context, endpoint);
  second.Write(large);
  CHECK(RunUntil(context, [&] { return second.Read().find("HTTP/1.1 503") == 0; }));
  CHECK(handler.exchanges.size() == 1);
  RawConnection third(context, endpoint);
  third.Write("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 2; }));
  handler.Answer(1, "small");
  CHECK(RunUntil(context, [&] { return third.Read().find("small") != std::string::npos; }));
  handler.Answer(0, "done");
  CHECK(RunUntil(context, [&] { return first.Read().find("done") != std::string::npos; }));
  first.Close();
  second.Close();
  third.Close();
  CHECK(RunUntil(context, [&] { return server.BufferedBytes() == 0; }));
}

// Guards against a broken answer that gets past those who read it.
TEST_CASE("a response that is malformed is not written", "[http][answers]")
{
  struct Row
  {
    std::string name;
    int status;
    Headers::Field field;
  };
  const auto row = GENERATE(values<Row>({
    { "no status", 0, { "X-One", "1" } },
    { "status 99", 99, { "X-One", "1" } },
    { "an interim status", 100, { "X-One", "1" } },
    { "a status that switches to another protocol", 101, { "X-One", "1" } },
    { "status 600", 600, { "X-One", "1" } },
    { "a negative status", -200, { "X-One", "1" } },
    { "an empty name", 200, { "", "1" } },
    { "a blank in a name", 200, { "X One", "1" } },
    { "a colon in a name", 200, { "X-One:", "1" } },
    { "a control byte in a name", 200, { "X\x01One", "1" } },
    { "a line's end in a name", 200, { "X: 1\r\nOne", "1" } },
    { "a line's end in a value", 200, { "X-One", "1\r\nContent-Length: 0\r\n\r\n" } },
    { "a bare LF in a value", 200, { "X-One", "1\nX-Two: 2" } },
    { "a bare CR in a value", 200, { "X-One", "1\rX-Two: 2" } },
    { "NUL in a value", 200, { "X-One", std::string("a\0z", 3) } },
    { "DEL in a value", 200, { "X-One", "a\x7fz" } },
  }));
  INFO(row.name);
  asio::io_context context;
  StoringHandler handler;
  const auto endpoint = FreeEndpoint(context);
  Server server(context, endpoint, handler);
  RawConnection caller(context, endpoint);
  caller.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  REQUIRE(RunUntil(context, [&] { return handler.exchanges.size() == 1; }));
  Response response;
  response.status = row.status;
  response.headers.Add(row.field.name, row.field.value);
  response.body = "hello";
  handler.exchanges[0]->Respond(response);
  REQUIRE(RunUntil(context, [&] {
    caller.Read();
    return caller.ended;
  }));
  CHECK(caller.Read().starts_with("HTTP/1.1 502 "));
  CHECK(caller.Read().find("Connection: close") != std::string::npos);
  CHECK(caller.Read().find('X') == std::string::npos);
  CHECK(caller.Read().ends_with("\r\n\r\n"));
  CHECK(handler.malformed == std::vector<int>{ row.status });
}

// Guards against a request that a server takes for two (UNASKED).
TEST_CASE("a request that is malformed is not sent", "[http][answers]")
{
  struct Row
  {
    std::string name;
    std::string method;
    std::string target;
    Headers::Field field;
  };
  const auto row = GENERATE(values<Row>({
    { "an empty method", "", "/", { "X-One", "1" } },
    { "a blank in the method", "GET /x", "/", { "X-One", "1" } },
    { "an empty target", "GET", "", { "X-One", "1" } },
    { "a blank in the target", "GET", "/a b", { "X-One", "1" } },
    { "a line's end in the target", "GET", "/ HTTP/1.1\r\nX-Two: 2", { "X-One", "1" } },
    { "a blank in a name", "GET", "/", { "X One", "1" } },
    { "a line's end in a value", "GET", "/", { "X-One", "1\r\n\r\nGET /y HTTP/1.1" } },
  }));
  INFO(row.name);
  asio::io_context context;
  std::size_t received = 0;
  ScriptedServer server(context, [&](Tcp::socket& aSocket, std::size_t) {
    ++received;
    asio::write(aSocket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  });
  Client client(context);
  Request request;
  request.method = row.method;
  request.target = row.target;
  request.headers.Add(row.field.name, row.field.value);
  std::optional<CallOutcome> outcome;
  client.Send(
    server.Address(), request, {}, [&](CallOutcome aOutcome) { outcome = std::move(aOutcome); });
  CHECK_FALSE(outcome.has_value());
  REQUIRE(RunUntil(context, [&] { return outcome.has_value(); }));
  CHECK(NameOf(kCallResultNames, outcome->result) == "not-sent");
  CHECK(received == 0);
}
