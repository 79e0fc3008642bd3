/// @file
/// Which bytes of a server the client takes for the answer to a call: on kept connections, between
/// calls, before and while a request is written.

#include "http/client.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>

using namespace hawthornlug;
using namespace hawthornlug::http;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kQuiet{ 50 };

/// A server that hands each block of bytes that it receives to the test.
class BlockServer
{
public:
  /// Gets the number of the connection and of the block on it; returns what is written.
  using Script = std::function<std::string(std::size_t, std::size_t)>;

  BlockServer(asio::io_context& aContext, Script aScript, std::string aGreeting = "")
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mScript(std::move(aScript))
    , mGreeting(std::move(aGreeting))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  std::size_t Accepted() const { return mPeers.size(); }
  const std::string& ReceivedOn(std::size_t aPeer) const { return mPeers.at(aPeer)->received; }
  void Write(std::size_t aPeer, const std::string& aBytes)
  {
    asio::error_code ec;
    asio::write(mPeers.at(aPeer)->socket, asio::buffer(aBytes), ec);
  }

private:
  struct Peer
  {
    explicit Peer(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string received;
    std::size_t blocks = 0;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      mPeers.push_back(std::make_shared<Peer>(std::move(aSocket)));
      Write(mPeers.size() - 1, mGreeting);
      Read(mPeers.size() - 1);
      Accept();
    });
  }

  void Read(std::size_t aPeer)
  {
    const auto peer = mPeers.at(aPeer);
    peer->socket.async_read_some(
      asio::buffer(peer->buf),
      [this, peer, aPeer](const asio::error_code& aError, std::size_t aBytes) {
        if (aError) {
          return;
        }
        peer->received.append(peer->buf.data(), aBytes);
        Write(aPeer, mScript(aPeer, peer->blocks++));
        Read(aPeer);
      });
  }

  Tcp::acceptor mAcceptor;
  Script mScript;
  std::string mGreeting;
  std::vector<std::shared_ptr<Peer>> mPeers;
};

std::string Answer(int aStatus, const std::string& aId, const std::string& aFields = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" +
         (aId.empty() ? "" : "Id: " + aId + "\r\n") + aFields + "Content-Length: 0\r\n\r\n";
}

/// A client whose calls are awaited one by one.
class CallFixture
{
public:
  void Begin(const std::string& aAddress, const std::string& aId, std::size_t aBodyBytes = 0)
  {
    Request request;
    request.method = "POST";
    request.target = "/x";
    request.headers.Add("Host", "h");
    request.headers.Add("Id", aId);
    request.body.assign(aBodyBytes, 'x');
    CallOptions options;
    options.timeout = seconds(3);
    options.awaitAcceptance = awaitAcceptance;
    options.echoHeader = "Id";
    options.echoValue = aId;
    const std::size_t n = outcomes.size();
    outcomes.emplace_back();
    client.Send(aAddress, request, options, [this, n](CallOutcome aOutcome) {
      outcomes[n] = std::move(aOutcome);
    });
  }

  /// Makes a call and returns its status, or how it ended without one.
  std::string Call(const std::string& aAddress, const std::string& aId, std::size_t aBodyBytes = 0)
  {
    Begin(aAddress, aId, aBodyBytes);
    RunUntil(context, [&] { return outcomes.back().has_value(); });
    return ResultOf(outcomes.size() - 1);
  }

  std::string ResultOf(std::size_t aCall) const
  {
    const std::optional<CallOutcome>& it = outcomes.at(aCall);
    if (!it) {
      return "none";
    }
    return it->result == CallResult::kAnswered ? std::to_string(it->response.status)
                                               : std::string(NameOf(kCallResultNames, it->result));
  }

  void RunQuietly()
  {
    context.restart();
    context.run_for(kQuiet);
  }

  asio::io_context context;
  Client client{ context };
  bool awaitAcceptance = false;
  std::vector<std::optional<CallOutcome>> outcomes;
};

} // namespace

// Guards against REFUSED: a copy of a refusal was taken for the answer to the same id, sent again.
TEST_CASE("a call does not use a connection that has carried another with its id", "[http][copies]")
{
  struct Row
  {
    std::string name;
    /// Ids of the calls, one after the other; the last one is the one that counts.
    std::vector<std::string> ids;
    std::size_t connections;
  };
  const auto row = GENERATE(values<Row>({
    { "the same id at once", { "a", "a" }, 2 },
    { "the same id after others", { "a", "b", "c", "a" }, 2 },
    { "the same id, three times", { "a", "a", "a" }, 3 },
    { "other ids", { "a", "b", "c" }, 1 },
    { "a new connection is kept, too", { "a", "b", "a", "c", "d", "b" }, 2 },
  }));
  INFO(row.name);
  CallFixture fixture;
  std::vector<std::string> firstOn;
  // Writes the refusal of a connection's first call once more ahead of the answers to later calls
  // with its id.
  BlockServer server(fixture.context, [&](std::size_t aPeer, std::size_t aBlock) {
    const std::string& id = row.ids.at(fixture.outcomes.size() - 1);
    if (aBlock == 0) {
      firstOn.resize(aPeer + 1);
      firstOn[aPeer] = id;
      const bool isNew = std::count(firstOn.begin(), firstOn.end(), id) == 1;
      return Answer(isNew ? 503 : 200, id);
    }
    const bool repeats = firstOn.at(aPeer) == id;
    return (repeats ? Answer(503, id) : "") + Answer(200, id);
  });
  for (std::size_t n = 0; n < row.ids.size(); ++n) {
    const std::string result = fixture.Call(server.Address(), row.ids[n]);
    CHECK(result == (n == 0 ? "503" : "200"));
  }
  CHECK(server.Accepted() == row.connections);
}

TEST_CASE("the ids of a connection are remembered up to a bound", "[http][copies]")
{
  struct Row
  {
    std::size_t others;
    std::size_t connections;
  };
  const auto row = GENERATE(values<Row>({ { 63, 2 }, { 64, 1 } }));
  INFO(row.others);
  CallFixture fixture;
  BlockServer server(fixture.context, [&](std::size_t, std::size_t) { return Answer(200, ""); });
  CHECK(fixture.Call(server.Address(), "a") == "200");
  for (std::size_t n = 0; n < row.others; ++n) {
    REQUIRE(fixture.Call(server.Address(), "b" + std::to_string(n)) == "200");
  }
  CHECK(fixture.Call(server.Address(), "a") == "200");
  CHECK(server.Accepted() == row.connections);
}

TEST_CASE("an id that is sent twice at once uses two connections", "[http][copies]")
{
  CallFixture fixture;
  BlockServer server(fixture.context, [&](std::size_t aPeer, std::size_t) {
    return Answer(aPeer == 0 ? 503 : 200, "a");
  });
  fixture.Begin(server.Address(), "a");
  fixture.Begin(server.Address(), "a");
  REQUIRE(RunUntil(fixture.context, [&] { return fixture.outcomes[0] && fixture.outcomes[1]; }));
  CHECK(server.Accepted() == 2);
  CHECK(fixture.ResultOf(0) != fixture.ResultOf(1));
  CHECK(fixture.Call(server.Address(), "a") == "200");
  CHECK(server.Accepted() == 3);
}

TEST_CASE("bytes that come between two calls are not the answer to the second", "[http][copies]")
{
  struct Row
  {
    std::string name;
    std::string between;
  };
  const auto row = GENERATE(values<Row>({
    { "a refusal with the next id", Answer(503, "b", "X-Hawthornlug-Not-Executed: 1\r\n") },
    { "a refusal without an id", Answer(503, "", "X-Hawthornlug-Not-Executed: 1\r\n") },
    { "the first answer once more", Answer(200, "a") },
    { "a byte", "H" },
  }));
  INFO(row.name);
  CallFixture fixture;
  BlockServer server(fixture.context, [&](std::size_t aPeer, std::size_t) {
    return Answer(200, aPeer == 0 ? "a" : "b");
  });
  CHECK(fixture.Call(server.Address(), "a") == "200");
  server.Write(0, row.between);
  fixture.RunQuietly();
  CHECK(fixture.Call(server.Address(), "b") == "200");
  CHECK(server.Accepted() == 2);
  CHECK_FALSE(fixture.outcomes.back()->reused);
}

TEST_CASE("an answer ahead of the request on a new connection answers nothing", "[http][copies]")
{
  CallFixture fixture;
  fixture.awaitAcceptance = true;
  const std::string refusal = Answer(503, "a", "X-Hawthornlug-Not-Executed: 1\r\n");
  BlockServer server(
    fixture.context, [&](std::size_t, std::size_t) { return std::string(); }, refusal);
  CHECK(fixture.Call(server.Address(), "a") == "not-accepted");
  fixture.RunQuietly();
  CHECK(server.ReceivedOn(0).empty());
}

TEST_CASE("an answer that comes while the request is written ends its connection", "[http][copies]")
{
  struct Row
  {
    std::string name;
    int status;
    std::string fields;
  };
  const auto row = GENERATE(values<Row>({
    { "a refusal", 503, "X-Hawthornlug-Not-Executed: 1\r\n" },
    { "an answer", 200, "" },
  }));
  INFO(row.name);
  // More than the sockets' buffers take, so that a part is still unsent.
  constexpr std::size_t kBodyBytes = std::size_t{ 32 } << 20;
  CallFixture fixture;
  BlockServer server(fixture.context, [&](std::size_t aPeer, std::size_t aBlock) {
    if (aPeer == 0) {
      return aBlock == 0 ? Answer(row.status, "a", row.fields) : std::string();
    }
    return Answer(200, "b");
  });
  CHECK(fixture.Call(server.Address(), "a", kBodyBytes) == std::to_string(row.status));
  const bool stated =
    fixture.outcomes.back()->response.headers.Find("X-Hawthornlug-Not-Executed").has_value();
  CHECK(stated == !row.fields.empty());
  CHECK(fixture.Call(server.Address(), "b") == "200");
  fixture.RunQuietly();
  CHECK(server.Accepted() == 2);
  CHECK(server.ReceivedOn(0).find("POST", 1) == std::string::npos);
  CHECK(server.ReceivedOn(0).size() < kBodyBytes);
}

TEST_CASE("only the header of the final answer states that nothing ran", "[http][copies]")
{
  struct Row
  {
    std::string name;
    std::string bytes;
    bool stated;
  };
  const std::string statement = "X-Hawthornlug-Not-Executed: 1\r\n";
  const auto row = GENERATE_COPY(values<Row>({
    { "in the header", Answer(503, "a", statement), true },
    { "in an interim answer", "HTTP/1.1 102 X\r\n" + statement + "\r\n" + Answer(503, "a"), false },
    { "in a trailer",
      "HTTP/1.1 503 X\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + statement + "\r\n",
      false },
    { "in the answer to another call", Answer(503, "z", statement) + Answer(503, "a"), false },
  }));
  INFO(row.name);
  CallFixture fixture;
  BlockServer server(fixture.context, [&](std::size_t, std::size_t) { return row.bytes; });
  CHECK(fixture.Call(server.Address(), "a") == "503");
  CHECK(fixture.outcomes.back()->response.headers.Find("X-Hawthornlug-Not-Executed").has_value() ==
        row.stated);
}
