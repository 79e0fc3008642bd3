/// @file
/// The forwarder over real connections to a faulty server that writes an earlier answer once more.

#include "platform/backend_calls.h"
#include "runtime/forwarder.h"
#include "tests/support/forwarder_parts.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <array>
#include <asio.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;
using hawthornlug::testing::RunUntil;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kStep = milliseconds(10);

/// Refuses the first request that it gets, and runs all others. On the connection that has carried
/// the refusal, each later answer comes behind a copy of it.
class RepeatingServer
{
public:
  RepeatingServer(asio::io_context& aContext, std::string aRefusal)
    : mAcceptor(aContext, { asio::ip::address_v4::loopback(), 0 })
    , mRefusal(std::move(aRefusal))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  unsigned runs = 0;

private:
  struct Peer
  {
    explicit Peer(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    std::array<char, 4096> buf{};
    bool hasRefused = false;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const asio::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      Read(std::make_shared<Peer>(std::move(aSocket)));
      Accept();
    });
  }

  void Read(const std::shared_ptr<Peer>& aPeer)
  {
    aPeer->socket.async_read_some(asio::buffer(aPeer->buf),
                                  [this, aPeer](const asio::error_code& aError, std::size_t) {
                                    if (!aError) {
                                      asio::write(aPeer->socket, asio::buffer(AnswerOn(*aPeer)));
                                      Read(aPeer);
                                    }
                                  });
  }

  std::string AnswerOn(Peer& aPeer)
  {
    if (!mHasRefused) {
      mHasRefused = true;
      aPeer.hasRefused = true;
      return mRefusal;
    }
    ++runs;
    const std::string answer = "HTTP/1.1 200 X\r\nX-Hawthornlug-Attempt-Id: r1\r\n"
                               "X-Hawthornlug-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n";
    return aPeer.hasRefused ? mRefusal + answer : answer;
  }

  Tcp::acceptor mAcceptor;
  std::string mRefusal;
  bool mHasRefused = false;
};

/// A forwarder with one server.
class CopiesFixture
{
public:
  CopiesFixture(asio::io_context& aContext, const std::string& aAddress)
    : mContext(aContext)
    , mBackends(aContext, mLog, mMetrics)
  {
    RouteConfig config;
    config.version = 1;
    config.routes = { Rule("unsafe", false) };
    config.services["s"].name = "s";
    mRoutes.Apply(config);
    ServerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.domain = "here";
    entry.slots = 2;
    entry.address = aAddress;
    mSelector.Put(entry, mTimers.now);
  }

  /// Sends a request that may run once, and returns the status of its answer.
  int SendRequest()
  {
    const auto exchange = std::make_shared<FakeExchange>();
    exchange->request.method = "POST";
    exchange->request.target = "/unsafe/x";
    exchange->request.headers.Add("Host", "h");
    exchange->request.headers.Add("X-Hawthornlug-Attempt-Id", "r1");
    mForwarder.OnRequest(exchange);
    RunUntil(mContext, [&] {
      mTimers.now += kStep;
      mForwarder.Dispatch();
      return exchange->answer.has_value();
    });
    return StatusOf(exchange);
  }

private:
  asio::io_context& mContext;
  RouteTable mRoutes;
  ServerSelector mSelector{ "here" };
  DecisionLog mLog{ "test" };
  Metrics mMetrics;
  platform::BackendCalls mBackends;
  platform::PlatformCallerHeaders mHeaders;
  NoRanges mRanges;
  ManualTimers mTimers;
  RecordingNotices mNotices{ mSelector, mTimers };
  RecordingSpans mSpans;
  FakeQuotas mQuotas;
  Forwarder mForwarder{ { mRoutes,
                          mSelector,
                          mBackends,
                          mHeaders,
                          mRanges,
                          mNotices,
                          mTimers,
                          mLog,
                          mMetrics,
                          mSpans,
                          mQuotas },
                        { 0.2, seconds(10), 58.0 } };
};

} // namespace

// Guards against TWICE: a copy of a refusal was taken for a second one, and the request sent again.
TEST_CASE("a request runs once though its first refusal is written once more", "[runtime][reports]")
{
  struct Row
  {
    std::string name;
    std::string head;
  };
  const auto row = GENERATE(values<Row>({
    { "another owner",
      "HTTP/1.1 421 X\r\nX-Hawthornlug-Not-Executed: 1\r\nX-Hawthornlug-Attempt-Id: r1\r\n" },
    { "another owner, without an id", "HTTP/1.1 421 X\r\nX-Hawthornlug-Not-Executed: 1\r\n" },
    { "another instance", "HTTP/1.1 421 X\r\nX-Hawthornlug-Instance-Id: other\r\n" },
  }));
  INFO(row.name);
  asio::io_context context;
  RepeatingServer server(context, row.head + "Content-Length: 0\r\n\r\n");
  CopiesFixture fixture(context, server.Address());
  CHECK(fixture.SendRequest() == 200);
  CHECK(server.runs == 1);
}

// Guards against REFUSED: the caller sent its refused request again, and was told by a copy of the
// first refusal that the second one had not run either.
TEST_CASE("a caller that sends an id again gets no copy of its first refusal",
          "[runtime][reports][copies]")
{
  struct Row
  {
    std::string name;
    std::string status;
  };
  const auto row = GENERATE(values<Row>({
    { "full", "503" },
    { "too many", "429" },
  }));
  INFO(row.name);
  asio::io_context context;
  RepeatingServer server(context,
                         "HTTP/1.1 " + row.status +
                           " X\r\nX-Hawthornlug-Not-Executed: 1\r\n"
                           "X-Hawthornlug-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n");
  CopiesFixture fixture(context, server.Address());
  const int first = fixture.SendRequest();
  CHECK(first == 503);
  CHECK(server.runs == 0);
  CHECK(fixture.SendRequest() == 200);
  CHECK(server.runs == 1);
}
