/// @file
/// Connections that are closed behind a response. Callers take the requests behind such a response
/// for not read and send them again, so that none of them may have been passed on.

#include "http/server.h"
#include "tests/support/loopback.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <sstream>
#include <thread>

using namespace hawthornlug;
using namespace hawthornlug::http;
using namespace hawthornlug::testing;
using Tcp = asio::ip::tcp;

namespace {

/// As many pipelined requests as a server passes on at a time.
constexpr std::size_t kMaxPassedOn = 16;
/// Time in which something that must not happen would happen.
constexpr std::chrono::milliseconds kQuiet{ 50 };
constexpr int kNoStatus = 99;

/// Stores requests until the test answers them; throws at the one that the test names.
class PipelineHandler : public Handler
{
public:
  void OnRequest(std::shared_ptr<Exchange> aExchange) override
  {
    aExchange->SetAbandoned([this] { ++abandoned; });
    exchanges.push_back(std::move(aExchange));
    if (exchanges.size() == throwsAt) {
      throw std::runtime_error("thrown on purpose");
    }
  }
  void OnBadRequest(int aStatus, ReadState) override { refused.push_back(aStatus); }
  std::optional<Duration> TimeLimitOf(const Request&) override { return bodyLimit; }

  void Answer(std::size_t aIndex, int aStatus = 200) const
  {
    Response response;
    response.status = aStatus;
    exchanges.at(aIndex)->Respond(response);
  }

  std::vector<std::shared_ptr<Exchange>> exchanges;
  std::vector<int> refused;
  std::size_t abandoned = 0;
  std::size_t throwsAt = 0;
  std::optional<Duration> bodyLimit;
};

/// A server and the connection of one caller to it.
class ClosingFixture
{
public:
  ClosingFixture()
    : server(context, endpoint, handler)
    , mCaller(context)
  {
    mCaller.connect(endpoint);
    mCaller.non_blocking(true);
  }

  void Write(const std::string& aBytes)
  {
    asio::error_code ec;
    asio::write(mCaller, asio::buffer(aBytes), ec);
  }

  bool Run(const std::function<bool()>& aDone)
  {
    while (true) {
      try {
        return RunUntil(context, aDone);
      } catch (const std::runtime_error&) {
        // The daemon's event loop reports what a handler throws and goes on, too.
      }
    }
  }

  void RunQuietly()
  {
    context.restart();
    context.run_for(kQuiet);
  }

  bool AwaitPassedOn(std::size_t aRequests)
  {
    return Run([&] { return handler.exchanges.size() >= aRequests; });
  }

  bool AwaitEnd()
  {
    return Run([&] {
      Read();
      return mEnded;
    });
  }

  /// Statuses of the answers so far, such as "200 502(close)".
  std::string Answers()
  {
    Read();
    std::string answers;
    std::istringstream lines(mReceived);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("HTTP/1.1 ")) {
        answers += (answers.empty() ? "" : " ") + line.substr(9, 3);
      } else if (line.starts_with("Connection: close")) {
        answers += "(close)";
      }
    }
    return answers;
  }

  asio::io_context context;
  PipelineHandler handler;
  Tcp::endpoint endpoint = FreeEndpoint(context);
  Server server;

private:
  void Read()
  {
    std::array<char, 4096> buf{};
    asio::error_code ec;
    mReceived.append(buf.data(), mCaller.read_some(asio::buffer(buf), ec));
    mEnded = mEnded || (ec && ec != asio::error::would_block);
  }

  Tcp::socket mCaller;
  std::string mReceived;
  bool mEnded = false;
};

std::string Post(const std::string& aFields = "")
{
  return "POST /x HTTP/1.1\r\nHost: h\r\n" + aFields + "Content-Length: 0\r\n\r\n";
}

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string text;
  for (std::size_t n = 0; n < aTimes; ++n) {
    text += aText;
  }
  return text;
}

/// @p aTimes answers with 200, the last of which closes the connection.
std::string Successes(std::size_t aTimes)
{
  return Repeated("200 ", aTimes - 1) + "200(close)";
}

/// A way by which the response to the first request closes the connection.
struct ClosingWay
{
  std::string name;
  std::function<void(ClosingFixture&)> close;
  std::string status;
};

/// What has become of the requests behind when it does.
struct BehindCase
{
  std::string name;
  std::string sentBefore;
  std::string sentAfter;
  /// Number of requests passed on, the first one included.
  std::size_t passedOn;
  /// Whether those behind are answered before the first one is.
  bool answered;
};

const std::vector<ClosingWay> kClosingWays = {
  { "draining",
    [](ClosingFixture& aIt) {
      aIt.server.Drain();
      aIt.handler.Answer(0);
    },
    "200" },
  { "a response that closes",
    [](ClosingFixture& aIt) {
      Response response;
      response.status = 200;
      response.keepAlive = false;
      aIt.handler.exchanges.at(0)->Respond(response);
    },
    "200" },
  { "a malformed response", [](ClosingFixture& aIt) { aIt.handler.Answer(0, kNoStatus); }, "502" },
  { "a false promise",
    [](ClosingFixture& aIt) {
      CHECK(aIt.handler.exchanges.at(0)->Execution().Begin());
      aIt.handler.Answer(0, 503);
    },
    "502" },
};

} // namespace

// Guards against TWICE: requests that ran counted as not read, and were sent again.
TEST_CASE("a response closes the connection only if no request behind it has been passed on",
          "[http][closing]")
{
  const auto way = GENERATE(from_range(kClosingWays));
  const auto row = GENERATE(values<BehindCase>({
    { "nothing behind", "", "", 1, false },
    { "not read", "", Post(), 1, false },
    { "read in part", "POST /x HTTP/1.1\r\nContent-Len", "gth: 0\r\n\r\n", 1, false },
    { "read, but not its whole body",
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo",
      "dy",
      1,
      false },
    { "running", Post(), "", 2, false },
    { "running, and more come", Post(), Repeated(Post(), 3), 2, false },
    { "several running, and part of another",
      Repeated(Post(), 3) + "POST /x HTTP/1.1\r\n",
      "Host: h\r\nContent-Length: 0\r\n\r\n",
      4,
      false },
    { "answered", Post(), Post(), 2, true },
    { "read, but not passed on", Repeated(Post(), kMaxPassedOn + 3), Post(), kMaxPassedOn, false },
    { "read, but not passed on; others answered",
      Repeated(Post(), kMaxPassedOn + 3),
      Post(),
      kMaxPassedOn,
      true },
  }));
  INFO(way.name << "; " << row.name);
  ClosingFixture fixture;
  fixture.Write(Post() + row.sentBefore);
  REQUIRE(fixture.AwaitPassedOn(row.passedOn));
  const auto answerThoseBehind = [&] {
    for (std::size_t n = 1; n < row.passedOn; ++n) {
      fixture.handler.Answer(n);
    }
  };
  if (row.answered) {
    answerThoseBehind();
  }
  way.close(fixture);
  fixture.RunQuietly();
  fixture.Write(row.sentAfter);
  fixture.RunQuietly();
  CHECK(fixture.handler.exchanges.size() == row.passedOn);
  answerThoseBehind();
  CHECK(fixture.AwaitEnd());
  const std::string behind = row.passedOn > 1 ? " " + Successes(row.passedOn - 1) : "(close)";
  CHECK(fixture.Answers() == way.status + behind);
  CHECK(fixture.handler.exchanges.size() == row.passedOn);
  CHECK(fixture.handler.abandoned == 0);
}

// Guards against TWICE: a request went on while the response ahead of it was closing the
// connection.
TEST_CASE(
  "requests that come while a draining server answers are passed on or closed behind, not both",
  "[http][closing]")
{
  ClosingFixture fixture;
  fixture.Write(Post());
  REQUIRE(fixture.AwaitPassedOn(1));
  fixture.server.Drain();
  fixture.Write(Post());
  REQUIRE(fixture.AwaitPassedOn(2));
  fixture.handler.Answer(0);
  fixture.Write(Post());
  REQUIRE(fixture.Run([&] { return !fixture.Answers().empty(); }));
  fixture.Write(Post());
  fixture.RunQuietly();
  CHECK(fixture.handler.exchanges.size() == 2);
  fixture.handler.Answer(1);
  CHECK(fixture.AwaitEnd());
  CHECK(fixture.Answers() == "200 200(close)");
  CHECK(fixture.handler.abandoned == 0);
}

TEST_CASE("a handler's exception closes behind the requests ahead, and passes on none behind",
          "[http][closing]")
{
  const auto throwsAt = GENERATE(values<std::size_t>({ 1, 2, 3 }));
  INFO(throwsAt);
  ClosingFixture fixture;
  fixture.handler.throwsAt = throwsAt;
  fixture.Write(Repeated(Post(), 4));
  REQUIRE(fixture.AwaitPassedOn(throwsAt));
  fixture.RunQuietly();
  fixture.Write(Post());
  fixture.RunQuietly();
  CHECK(fixture.handler.exchanges.size() == throwsAt);
  for (std::size_t n = 0; n + 1 < throwsAt; ++n) {
    fixture.handler.Answer(n);
  }
  CHECK(fixture.AwaitEnd());
  CHECK(fixture.Answers() == Repeated("200 ", throwsAt - 1) + "500(close)");
  CHECK(fixture.handler.abandoned == 0);
}

TEST_CASE("a request that is refused behind others promises only for itself", "[http][closing]")
{
  struct Row
  {
    std::string name;
    std::string behind;
    bool drains;
    std::string answers;
  };
  const auto row = GENERATE(values<Row>({
    { "malformed", "POST /x HTTP/9\r\n\r\n", false, "200 200 400(close)" },
    { "malformed, draining", "POST /x HTTP/9\r\n\r\n", true, "200 200 400(close)" },
    { "a body that is late",
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo",
      false,
      "200 200 408(close)" },
    { "a body that is late, draining",
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo",
      true,
      "200 200 408(close)" },
  }));
  INFO(row.name);
  ClosingFixture fixture;
  fixture.handler.bodyLimit = milliseconds(100);
  fixture.Write(Repeated(Post(), 2) + row.behind);
  REQUIRE(fixture.Run([&] { return !fixture.handler.refused.empty(); }));
  if (row.drains) {
    fixture.server.Drain();
  }
  fixture.handler.Answer(0);
  fixture.RunQuietly();
  fixture.handler.Answer(1);
  CHECK(fixture.AwaitEnd());
  CHECK(fixture.Answers() == row.answers);
  CHECK(fixture.handler.exchanges.size() == 2);
  CHECK(fixture.handler.abandoned == 0);
}

TEST_CASE("no request is told 408 or 503 behind a response that closes", "[http][closing]")
{
  struct Row
  {
    std::string name;
    std::size_t bodyBytes;
    std::size_t heldBytes;
  };
  const auto row = GENERATE(values<Row>({
    { "a body that is late", 4, std::size_t{ 1 } << 20 },
    { "memory is short", 300'000, 200'000 },
  }));
  INFO(row.name);
  ClosingFixture fixture;
  ServerLimits limits;
  limits.heldBytes = row.heldBytes;
  fixture.server.SetLimits(limits);
  fixture.handler.bodyLimit = milliseconds(300);
  fixture.Write(Repeated(Post(), 2) + "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(row.bodyBytes) + "\r\n\r\n");
  REQUIRE(fixture.AwaitPassedOn(2));
  fixture.server.Drain();
  fixture.handler.Answer(0);
  fixture.RunQuietly();
  fixture.Write(std::string(row.bodyBytes - 1, 'x'));
  fixture.RunQuietly();
  std::this_thread::sleep_for(milliseconds(300));
  fixture.RunQuietly();
  fixture.handler.Answer(1);
  CHECK(fixture.AwaitEnd());
  CHECK(fixture.Answers() == "200 200(close)");
  CHECK(fixture.handler.exchanges.size() == 2);
  CHECK(fixture.handler.refused.empty());
  CHECK(fixture.server.BufferedBytes() < row.heldBytes);
}
