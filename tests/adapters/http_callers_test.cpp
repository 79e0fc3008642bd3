/// @file
/// The interface for callers over real connections, with the daemon as a fake.

#include "adapters/http_callers.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace hawthornlug;
using namespace hawthornlug::testing;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxBody = 100;
constexpr std::size_t kMaxKey = 8;
constexpr std::size_t kMaxConnections = 2;

/// Keeps each order until the test answers it.
class HoldingRequests : public RequestHandler
{
public:
  std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) override
  {
    const std::lock_guard lock(mMutex);
    mOrder = std::move(aOrder);
    mDone = std::move(aDone);
    mChanged.notify_all();
    return std::make_shared<Progress>(*this);
  }

  /// Waits for an order and returns it.
  Order Await()
  {
    std::unique_lock lock(mMutex);
    REQUIRE(mChanged.wait_for(lock, kLongest, [this] { return mDone != nullptr; }));
    return mOrder;
  }

  void Answer(const OrderAnswer& aAnswer)
  {
    Done done;
    {
      const std::lock_guard lock(mMutex);
      done.swap(mDone);
    }
    done(aAnswer);
  }

  bool AwaitAbandoned()
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kLongest, [this] { return mAbandoned > 0; });
  }

  int Abandoned()
  {
    const std::lock_guard lock(mMutex);
    return mAbandoned;
  }

private:
  class Progress : public OrderInProgress
  {
  public:
    explicit Progress(HoldingRequests& aRequests)
      : mRequests(aRequests)
    {
    }
    void Abandon() override
    {
      const std::lock_guard lock(mRequests.mMutex);
      ++mRequests.mAbandoned;
      mRequests.mChanged.notify_all();
    }

  private:
    HoldingRequests& mRequests;
  };

  std::mutex mMutex;
  std::condition_variable mChanged;
  Order mOrder;
  Done mDone;
  int mAbandoned = 0;
};

class QuietOperators : public OperatorHandler
{
public:
  bool IsReady() const override { return false; }
  std::string Status() const override { return "{}\n"; }
  std::string Explain(const std::string& aService, const std::string& aKey) const override
  {
    return aService == "s" ? aKey : std::string();
  }
  std::string Metrics() const override { return "m 1\n"; }
};

struct Fixture
{
  Fixture() { REQUIRE(callers.Listen("127.0.0.1", endpoint.port())); }

  std::unique_ptr<tcp::socket> Connect()
  {
    auto socket = std::make_unique<tcp::socket>(context);
    socket->connect(endpoint);
    return socket;
  }

  /// Sends bytes and reads until the connection ends or @p aUntil has come.
  std::string Talk(tcp::socket& aSocket, const std::string& aBytes, const std::string& aUntil)
  {
    asio::error_code ec;
    asio::write(aSocket, asio::buffer(aBytes), ec);
    std::string answer;
    asio::async_read_until(
      aSocket, asio::dynamic_buffer(answer), aUntil, [](const asio::error_code&, std::size_t) {});
    context.restart();
    context.run_for(kLongest);
    return answer;
  }

  asio::io_context context;
  const tcp::endpoint endpoint = FreeEndpoint(context);
  HoldingRequests requests;
  QuietOperators operators;
  HttpLoop loop;
  HttpCallers callers{ loop, requests, operators, { kMaxKey, kMaxBody, kMaxConnections } };
};

std::string Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

TEST_CASE("what is no order is answered by the interface itself", "[adapters]")
{
  Fixture fixture;
  struct Row
  {
    std::string bytes;
    std::string status;
    std::string part;
  };
  const auto row = GENERATE(values<Row>({
    { Get("/s"), "400", "bad-request" },
    { Get("/s/"), "400", "bad-request" },
    { Get("/s/ninechars"), "400", "bad-request" },
    { "TRACE /s/k HTTP/1.1\r\nHost: h\r\n\r\n", "400", "bad-request" },
    { "GET /s/k HTTP/1.1\r\nHost: h\r\nIdempotency-Key: " + std::string(129, 'i') + "\r\n\r\n",
      "400",
      "bad-request" },
    { "POST /s/k HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413", "413" },
    { "GET /s/k\r\n\r\n", "400", "400" },
    { Get("/healthz"), "200", "ok" },
    { Get("/readyz"), "503", "not ready" },
    { Get("/metrics"), "200", "m 1" },
    { Get("/-/status"), "200", "{}" },
    { Get("/-/explain?service=s&key=a%2Fb"), "200", "a/b" },
    { Get("/-/explain?service=t&key=k"), "404", "unknown-service" },
  }));
  INFO(row.bytes);
  const auto socket = fixture.Connect();
  const std::string answer = fixture.Talk(*socket, row.bytes, row.part);
  CHECK(answer.find("HTTP/1.1 " + row.status) == 0);
  CHECK(answer.find(row.part) != std::string::npos);
}

TEST_CASE("an order carries what the caller sent, without what concerns the connection",
          "[adapters]")
{
  Fixture fixture;
  const auto socket = fixture.Connect();
  asio::write(*socket,
              asio::buffer(std::string("PUT /s/a%20b/rest?x=1 HTTP/1.1\r\nHost: h\r\nConnection: "
                                       "X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\nIdempotency-Key: "
                                       "r1\r\nContent-Length: 2\r\n\r\nhi")));
  const Order order = fixture.requests.Await();
  CHECK(order.service == "s");
  CHECK(order.key == "a b");
  CHECK(order.target == "/s/a%20b/rest?x=1");
  CHECK(order.method == "PUT");
  CHECK(order.body == "hi");
  CHECK(order.requestId == "r1");
  CHECK(order.caller == "127.0.0.1");
  const auto has = [&](const std::string& aName) {
    return std::any_of(order.headers.begin(), order.headers.end(), [&](const HeaderField& aField) {
      return aField.name == aName;
    });
  };
  CHECK(has("X-Kept"));
  CHECK_FALSE(has("X-Hop"));
  CHECK_FALSE(has("Host"));
  fixture.requests.Answer(OrderAnswer::NotRun(Refusal::kNoOwner));
}

TEST_CASE("outcomes become statuses", "[adapters]")
{
  Fixture fixture;
  struct Row
  {
    OrderAnswer answer;
    std::string status;
    std::string part;
  };
  OrderAnswer done;
  done.outcome = Outcome::kDone;
  done.status = 201;
  done.server = "srv";
  done.body = "made";
  const auto row = GENERATE_COPY(values<Row>({
    { done, "201", "made" },
    { OrderAnswer::NotRun(Refusal::kOverloaded, milliseconds(1200)), "503", "Retry-After: 2" },
    { OrderAnswer::NotRun(Refusal::kUnknownService), "404", "not-run" },
    { OrderAnswer::Unknown(Refusal::kNoAnswer), "504", "unknown" },
  }));
  const auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(Get("/s/k")));
  fixture.requests.Await();
  fixture.requests.Answer(row.answer);
  const std::string answer = fixture.Talk(*socket, "", row.part);
  CHECK(answer.find("HTTP/1.1 " + row.status) == 0);
  CHECK(answer.find(row.part) != std::string::npos);
  CHECK(fixture.requests.Abandoned() == 0);
}

TEST_CASE("a caller that leaves abandons its order", "[adapters]")
{
  Fixture fixture;
  auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(Get("/s/k")));
  fixture.requests.Await();
  socket->close();
  CHECK(fixture.requests.AwaitAbandoned());
  // Its outcome may still come, and goes nowhere.
  fixture.requests.Answer(OrderAnswer::Unknown(Refusal::kNoAnswer));
}

TEST_CASE("connections beyond the bound are closed at once", "[adapters]")
{
  Fixture fixture;
  const auto first = fixture.Connect();
  const auto second = fixture.Connect();
  CHECK(fixture.Talk(*first, Get("/healthz"), "ok").find("200") != std::string::npos);
  CHECK(fixture.Talk(*second, Get("/healthz"), "ok").find("200") != std::string::npos);
  const auto third = fixture.Connect();
  CHECK(fixture.Talk(*third, Get("/healthz"), "ok").empty());
}

TEST_CASE("a stop answers what is in progress and closes its connection", "[adapters]")
{
  Fixture fixture;
  const auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(Get("/s/k")));
  fixture.requests.Await();
  fixture.callers.Drain();
  std::thread stop([&] { fixture.callers.Stop(kLongest); });
  OrderAnswer done;
  done.outcome = Outcome::kDone;
  done.status = 200;
  done.body = "late";
  fixture.requests.Answer(done);
  const std::string answer = fixture.Talk(*socket, "", "late");
  stop.join();
  CHECK(answer.find("late") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}
