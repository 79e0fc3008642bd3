/// @file
/// The HTTP interface for callers and operators, over loopback connections and with a fake daemon.

#include "adapters/http_callers.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace hawthornlug;
using namespace hawthornlug::testing;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxBodyBytes = 100;
constexpr std::size_t kMaxKeyLength = 8;
constexpr std::size_t kMaxConnections = 2;

/// Stores the last order until the test answers it.
class StoringRequestHandler : public RequestHandler
{
public:
  std::shared_ptr<OrderInProgress> Handle(Order aOrder, Done aDone) override
  {
    const std::lock_guard lock(mMutex);
    mOrder = std::move(aOrder);
    mDone = std::move(aDone);
    mChanged.notify_all();
    return std::make_shared<FakeOrderInProgress>(*this);
  }

  /// Waits for an order and returns it.
  Order WaitForOrder()
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

  bool WaitForAbandoned()
  {
    std::unique_lock lock(mMutex);
    return mChanged.wait_for(lock, kLongest, [this] { return mAbandonedCount > 0; });
  }

  int AbandonedCount()
  {
    const std::lock_guard lock(mMutex);
    return mAbandonedCount;
  }

private:
  class FakeOrderInProgress : public OrderInProgress
  {
  public:
    explicit FakeOrderInProgress(StoringRequestHandler& aRequests)
      : mRequests(aRequests)
    {
    }
    void Abandon() override
    {
      const std::lock_guard lock(mRequests.mMutex);
      ++mRequests.mAbandonedCount;
      mRequests.mChanged.notify_all();
    }

  private:
    StoringRequestHandler& mRequests;
  };

  std::mutex mMutex;
  std::condition_variable mChanged;
  Order mOrder;
  Done mDone;
  int mAbandonedCount = 0;
};

class FakeOperatorHandler : public OperatorHandler
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

  /// Sends @p aBytes and reads until the connection ends or the text @p aUntil was received.
  /// Returns all text received.
  std::string SendAndRead(tcp::socket& aSocket,
                          const std::string& aBytes,
                          const std::string& aUntil)
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
  StoringRequestHandler requests;
  FakeOperatorHandler operators;
  HttpLoop loop;
  HttpCallers callers{ loop,
                       requests,
                       operators,
                       { kMaxKeyLength, kMaxBodyBytes, kMaxConnections } };
};

std::string MakeGetRequest(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

} // namespace

TEST_CASE("operator requests and invalid requests are answered without an order", "[adapters]")
{
  Fixture fixture;
  struct Row
  {
    std::string bytes;
    std::string status;
    std::string part;
  };
  const auto row = GENERATE(values<Row>({
    { MakeGetRequest("/s"), "400", "bad-request" },
    { MakeGetRequest("/s/"), "400", "bad-request" },
    { MakeGetRequest("/s/ninechars"), "400", "bad-request" },
    { MakeGetRequest("/s/a%0D%0Ab"), "400", "bad-request" },
    { MakeGetRequest("/s/a%00b"), "400", "bad-request" },
    { MakeGetRequest("/s%0Ax/k"), "400", "bad-request" },
    { "TRACE /s/k HTTP/1.1\r\nHost: h\r\n\r\n", "400", "bad-request" },
    { "GET /s/k HTTP/1.1\r\nHost: h\r\nIdempotency-Key: " + std::string(129, 'i') + "\r\n\r\n",
      "400",
      "bad-request" },
    { "POST /s/k HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413", "413" },
    { "GET /s/k\r\n\r\n", "400", "400" },
    { MakeGetRequest("/healthz"), "200", "ok" },
    { MakeGetRequest("/readyz"), "503", "not ready" },
    { MakeGetRequest("/metrics"), "200", "m 1" },
    { MakeGetRequest("/-/status"), "200", "{}" },
    { MakeGetRequest("/-/explain?service=s&key=a%2Fb"), "200", "a/b" },
    { MakeGetRequest("/-/explain?service=t&key=k"), "404", "unknown-service" },
  }));
  INFO(row.bytes);
  const auto socket = fixture.Connect();
  const std::string answer = fixture.SendAndRead(*socket, row.bytes, row.part);
  CHECK(answer.find("HTTP/1.1 " + row.status) == 0);
  CHECK(answer.find(row.part) != std::string::npos);
}

TEST_CASE("an order contains the request of the caller without its hop-by-hop headers",
          "[adapters]")
{
  Fixture fixture;
  const auto socket = fixture.Connect();
  asio::write(*socket,
              asio::buffer(std::string("PUT /s/a%20b/rest?x=1 HTTP/1.1\r\nHost: h\r\nConnection: "
                                       "X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\nIdempotency-Key: "
                                       "r1\r\nContent-Length: 2\r\n\r\nhi")));
  const Order order = fixture.requests.WaitForOrder();
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
  fixture.requests.Answer(RefuseUnsent(Refusal::kNoOwner));
}

TEST_CASE("each outcome of an order has its HTTP status", "[adapters]")
{
  Fixture fixture;
  struct Row
  {
    OrderAnswer answer;
    std::string status;
    std::string part;
  };
  OrderAnswer done;
  done.outcome = StatedOutcome::Done();
  done.status = 201;
  done.server = "srv";
  done.body = "made";
  const auto row = GENERATE_COPY(values<Row>({
    { done, "201", "made" },
    { RefuseUnsent(Refusal::kOverloaded, milliseconds(1200)), "503", "Retry-After: 2" },
    { RefuseUnsent(Refusal::kUnknownService), "404", "not-run" },
    { OrderAnswer::Unknown(Refusal::kNoAnswer), "504", "unknown" },
  }));
  const auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(MakeGetRequest("/s/k")));
  fixture.requests.WaitForOrder();
  fixture.requests.Answer(row.answer);
  const std::string answer = fixture.SendAndRead(*socket, "", row.part);
  CHECK(answer.find("HTTP/1.1 " + row.status) == 0);
  CHECK(answer.find(row.part) != std::string::npos);
  CHECK(fixture.requests.AbandonedCount() == 0);
}

TEST_CASE("an order is abandoned when its caller closes the connection", "[adapters]")
{
  Fixture fixture;
  auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(MakeGetRequest("/s/k")));
  fixture.requests.WaitForOrder();
  socket->close();
  CHECK(fixture.requests.WaitForAbandoned());
  // The outcome of the order may still arrive; it must be ignored.
  fixture.requests.Answer(OrderAnswer::Unknown(Refusal::kNoAnswer));
}

TEST_CASE("connections over the limit are closed at once", "[adapters]")
{
  Fixture fixture;
  const auto first = fixture.Connect();
  const auto second = fixture.Connect();
  CHECK(fixture.SendAndRead(*first, MakeGetRequest("/healthz"), "ok").find("200") !=
        std::string::npos);
  CHECK(fixture.SendAndRead(*second, MakeGetRequest("/healthz"), "ok").find("200") !=
        std::string::npos);
  const auto third = fixture.Connect();
  CHECK(fixture.SendAndRead(*third, MakeGetRequest("/healthz"), "ok").empty());
}

TEST_CASE("stopping waits for requests in progress and closes their connections", "[adapters]")
{
  Fixture fixture;
  const auto socket = fixture.Connect();
  asio::write(*socket, asio::buffer(MakeGetRequest("/s/k")));
  fixture.requests.WaitForOrder();
  fixture.callers.Drain();
  std::thread stop([&] { fixture.callers.Stop(kLongest); });
  OrderAnswer done;
  done.outcome = StatedOutcome::Done();
  done.status = 200;
  done.body = "late";
  fixture.requests.Answer(done);
  const std::string answer = fixture.SendAndRead(*socket, "", "late");
  stop.join();
  CHECK(answer.find("late") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
}
