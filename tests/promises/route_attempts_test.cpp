/// @file
/// What callers of `route` are told after one or several attempts, over real sockets, against what
/// servers ran.

#include "tests/support/promise_fixture.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;
using namespace hawthornlug::test;

namespace {

constexpr std::string_view kSealed =
  "X-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Server-Seal: s\r\n";
constexpr std::string_view kStated =
  "X-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Not-Executed: 1\r\n";
constexpr Duration kSoon = milliseconds(500);
constexpr Duration kLate = milliseconds(1500);
/// More than fits into the buffers of the sockets on the way.
constexpr std::size_t kLargeBytes = std::size_t{ 8 } << 20;

std::string Text(int aStatus, std::string_view aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + std::string(aFields) +
         "Content-Length: 0\r\n\r\n";
}

/// A server runs the request and answers.
Step Runs(int aStatus, std::string_view aFields = kSealed)
{
  return { Text(aStatus, aFields) };
}

/// A server states that it doesn't run the request.
Step Refuses(int aStatus, std::string_view aFields = kStated)
{
  Step step{ Text(aStatus, aFields) };
  step.runs = false;
  return step;
}

/// A server runs the request and writes these bytes, before the connection ends.
Step Breaks(std::string aBytes, After aAfter, Moment aMoment = Moment::kWhole)
{
  Step step{ std::move(aBytes) };
  step.after = aAfter;
  step.moment = aMoment;
  return step;
}

Step Takes(Step aStep, Duration aTime)
{
  aStep.takes = std::chrono::ceil<std::chrono::milliseconds>(aTime);
  return aStep;
}

struct AttemptRow
{
  std::string name;
  unsigned servers = 1;
  std::vector<Step> script;
  /// The status that the caller gets for a request that may run once, and for one that is
  /// idempotent.
  int onceStatus = 0;
  int idempotentStatus = 0;
  std::size_t bodyBytes = 0;
  /// A first request is answered with 200 and leaves a connection that is kept.
  bool reusesConnection = false;
  Duration deadline = seconds(4);
  /// The idempotent request is hedged.
  bool hedges = false;
};

std::vector<AttemptRow> SingleAttempts()
{
  std::vector<AttemptRow> rows;
  for (const int it : { 200, 404, 500, 504 }) {
    rows.push_back({ "answered: " + std::to_string(it), 1, { Runs(it) }, it, it });
  }
  for (const int it : { 408, 421, 429, 503 }) {
    rows.push_back({ "unstated: " + std::to_string(it), 1, { Runs(it) }, 502, 502 });
    rows.push_back({ "unstated, on a kept connection: " + std::to_string(it),
                     1,
                     { Runs(it) },
                     502,
                     502,
                     0,
                     true });
  }
  for (const int it : { 200, 500 }) {
    const std::string fields = std::string(kSealed) + "X-Hawthornlug-Not-Executed: 1\r\n";
    rows.push_back(
      { "contradicts itself: " + std::to_string(it), 1, { Runs(it, fields) }, 502, 502 });
  }
  for (const int it : { 400, 421, 429, 503 }) {
    const std::string_view noId = "X-Hawthornlug-Not-Executed: 1\r\n";
    const std::string name = "not-run: " + std::to_string(it);
    rows.push_back({ name, 1, { Refuses(it) }, 503, 503 });
    rows.push_back({ name + ", on a kept connection", 1, { Refuses(it) }, 503, 503, 0, true });
    rows.push_back({ name + ", without id", 1, { Refuses(it, noId) }, 503, 503 });
    rows.push_back(
      { name + ", without id on a kept connection", 1, { Runs(it, noId) }, 502, 502, 0, true });
  }
  rows.push_back({ "not-owner: another instance",
                   1,
                   { Refuses(421, "X-Hawthornlug-Instance-Id: other\r\n") },
                   503,
                   503 });
  rows.push_back({ "unattributed: 421 of nobody",
                   1,
                   { Runs(421, "X-Hawthornlug-Attempt-Id: ID\r\n") },
                   502,
                   502 });
  rows.push_back({ "unattributed: 421 of the instance that was meant",
                   1,
                   { Runs(421, "X-Hawthornlug-Instance-Id: SELF\r\n") },
                   502,
                   502 });
  rows.push_back({ "unattributed: 421 of another instance, sealed",
                   1,
                   { Runs(421, std::string(kSealed) + "X-Hawthornlug-Instance-Id: other\r\n") },
                   502,
                   502 });
  return rows;
}

std::vector<AttemptRow> BrokenAttempts()
{
  const std::string half =
    "HTTP/1.1 503 X\r\n" + std::string(kStated) + "Content-Length: 9\r\n\r\nab";
  return {
    { "broken: reset after the whole request", 1, { Breaks("", After::kReset) }, 502, 502 },
    { "broken: ended after the whole request", 1, { Breaks("", After::kEnd) }, 502, 502 },
    { "broken: reset after a part of the request",
      1,
      { Breaks("", After::kReset, Moment::kHeader) },
      502,
      502,
      kLargeBytes },
    { "broken: ended after a part of the request",
      1,
      { Breaks("", After::kEnd, Moment::kHeader) },
      502,
      502,
      kLargeBytes },
    { "broken: half a refusal", 1, { Breaks(half, After::kEnd) }, 502, 502 },
    { "broken: half a refusal, then a reset", 1, { Breaks(half, After::kReset) }, 502, 502 },
    { "broken: the header of a refusal only",
      1,
      { Breaks("HTTP/1.1 503 X\r\n" + std::string(kStated), After::kEnd) },
      502,
      502 },
    { "broken: garbage", 1, { Breaks("\x01garbage\r\n\r\n", After::kKeep) }, 502, 502 },
    { "broken: a refusal with two lengths",
      1,
      { Breaks("HTTP/1.1 503 X\r\n" + std::string(kStated) +
                 "Content-Length: 0\r\nContent-Length: 1\r\n\r\n",
               After::kKeep) },
      502,
      502 },
    { "broken: refusals of other requests only",
      1,
      { Breaks("HTTP/1.1 503 X\r\nX-Hawthornlug-Not-Executed: 1\r\n"
               "X-Hawthornlug-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
               After::kEnd) },
      502,
      502 },
    { "broken: ended on a kept connection", 1, { Breaks("", After::kEnd) }, 502, 502, 0, true },
    { "broken: reset on a kept connection", 1, { Breaks("", After::kReset) }, 502, 502, 0, true },
    { "timed-out", 1, { Takes(Runs(200), kLate) }, 504, 504, 0, false, kSoon },
    { "timed-out: a refusal after the deadline",
      1,
      { Takes(Refuses(503), kLate) },
      504,
      504,
      0,
      false,
      kSoon },
    { "too-large: a refusal",
      1,
      { Breaks("HTTP/1.1 503 X\r\n" + std::string(kStated) + "Content-Length: 99999999\r\n\r\n",
               After::kKeep) },
      502,
      502 },
  };
}

std::vector<AttemptRow> SeveralAttempts()
{
  const Step lost = Breaks("", After::kReset);
  return {
    { "refused, then refused", 2, { Refuses(503), Refuses(429) }, 503, 503 },
    { "refused by all that may be tried", 4, { Refuses(503), Refuses(503) }, 503, 503 },
    { "another instance, then refused", 2, { Refuses(421), Refuses(503) }, 503, 503 },
    { "refused, then served", 2, { Refuses(503), Runs(200) }, 200, 200 },
    { "refused, then lost", 2, { Refuses(503), lost }, 502, 502 },
    { "refused, then unstated", 2, { Refuses(503), Runs(503) }, 502, 502 },
    { "refused, then unattributed", 2, { Refuses(503), Runs(421, "") }, 502, 502 },
    { "refused, then silent",
      2,
      { Refuses(503), Takes(Runs(200), kLate) },
      504,
      504,
      0,
      false,
      kSoon },
    { "lost, then refused", 2, { lost, Refuses(503) }, 502, 502 },
    { "lost, then another instance", 2, { lost, Refuses(421) }, 502, 502 },
    { "lost, then lost", 2, { lost, lost }, 502, 502 },
    { "lost, then served", 2, { lost, Runs(200) }, 502, 200 },
    { "unstated, then refused", 2, { Runs(503), Refuses(503) }, 502, 502 },
    { "unstated, then served", 2, { Runs(503), Runs(200) }, 502, 200 },
    // Another server of the application would limit the caller, too.
    { "unstated, of a server that limits its caller", 2, { Runs(429) }, 502, 502 },
    { "500, then refused", 2, { Runs(500), Refuses(503) }, 500, 500 },
    { "500, then unstated", 2, { Runs(500), Runs(503) }, 500, 500 },
    { "refused, lost, refused", 3, { Refuses(503), lost, Refuses(503) }, 502, 502 },
  };
}

/// Idempotent requests get a second attempt beside the first, which is late.
std::vector<AttemptRow> HedgedAttempts()
{
  const Step lost = Breaks("", After::kReset);
  const auto late = [](const Step& aStep) { return Takes(aStep, kLate); };
  std::vector<AttemptRow> rows = {
    { "served late, then refused", 2, { late(Runs(200)), Refuses(503) }, 200, 200 },
    { "served late, then served", 2, { late(Runs(200)), Runs(200) }, 200, 200 },
    { "refused late, then refused", 2, { late(Refuses(503)), Refuses(503) }, 503, 503 },
    { "refused late, then served", 2, { late(Refuses(503)), Runs(200) }, 200, 200 },
    { "refused late, then lost", 2, { late(Refuses(503)), lost }, 502, 502 },
    { "refused late, then unstated", 2, { late(Refuses(503)), Runs(503) }, 502, 502 },
    { "refused late, then served late", 2, { late(Refuses(503)), late(Runs(200)) }, 200, 200 },
    { "lost late, then refused", 2, { late(lost), Refuses(503) }, 502, 502 },
    { "unstated late, then refused", 2, { late(Runs(503)), Refuses(503) }, 502, 502 },
    { "unstated late, then unstated", 2, { late(Runs(503)), Runs(429) }, 502, 502 },
  };
  for (AttemptRow& it : rows) {
    it.hedges = true;
  }
  return rows;
}

std::vector<Step> ScriptOf(const AttemptRow& aRow)
{
  std::vector<Step> script = aRow.script;
  if (aRow.reusesConnection) {
    script.insert(script.begin(), Runs(200));
  }
  return script;
}

/// One row at work. Rows run side by side, since each waits for most of its time.
class RowRun
{
public:
  RowRun(const AttemptRow& aRow, bool aIdempotent)
    : mRow(aRow)
    , mIdempotent(aIdempotent)
    , mFixture(aRow.servers, ScriptOf(aRow))
    , mCaller(mFixture.NewCaller())
  {
    if (aRow.reusesConnection) {
      mCaller.Send({ aIdempotent, "r0" });
    } else {
      SendRequest();
    }
  }

  /// Goes on; returns whether the request has been answered.
  bool Advance()
  {
    mFixture.Poll();
    if (!mSent && !mCaller.answers.empty()) {
      SendRequest();
    }
    return mCaller.answers.size() == Expected();
  }

  void Check()
  {
    INFO(mRow.name << (mIdempotent ? ", idempotent" : ", may run once"));
    CHECK(mCaller.answers.size() == Expected());
    if (mCaller.answers.size() == Expected()) {
      CHECK(mCaller.answers.back().status ==
            (mIdempotent ? mRow.idempotentStatus : mRow.onceStatus));
    }
    CHECK(mFixture.servers.Arrived() >= Expected());
    CHECK((!mRow.hedges || !mIdempotent || mFixture.Counted("hedges_total")));
    CheckTold(mFixture);
  }

private:
  std::size_t Expected() const { return mRow.reusesConnection ? 2 : 1; }
  void SendRequest()
  {
    mSent = true;
    CallerRequest request{ mIdempotent, "r1", mRow.bodyBytes };
    request.deadline = mRow.deadline;
    mCaller.Send(request);
  }

  const AttemptRow& mRow;
  bool mIdempotent;
  PromiseFixture mFixture;
  PromiseCaller& mCaller;
  bool mSent = false;
};

void CheckRows(const std::vector<AttemptRow>& aRows)
{
  std::deque<RowRun> runs;
  for (const AttemptRow& it : aRows) {
    runs.emplace_back(it, false);
    runs.emplace_back(it, true);
  }
  auto end = std::chrono::steady_clock::now() + testing::kLongest;
  bool allAnswered = false;
  while (std::chrono::steady_clock::now() < end) {
    std::size_t answered = 0;
    for (RowRun& it : runs) {
      answered += it.Advance() ? 1 : 0;
    }
    if (!allAnswered && answered == runs.size()) {
      allAnswered = true;
      end = std::chrono::steady_clock::now() + kAfterwards;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  for (RowRun& it : runs) {
    it.Check();
  }
}

} // namespace

// Guards against REFUSED: a status, or an end of the connection, was taken for a refusal.
TEST_CASE("a caller is told what the only attempt proves", "[promises][route]")
{
  CheckRows(SingleAttempts());
}

TEST_CASE("a caller is promised nothing after a broken attempt", "[promises][route]")
{
  CheckRows(BrokenAttempts());
}

TEST_CASE("a caller is told what an attempt and its hedge prove", "[promises][route]")
{
  CheckRows(HedgedAttempts());
}

TEST_CASE("a caller is told what all attempts together prove", "[promises][route]")
{
  CheckRows(SeveralAttempts());
}

namespace {

/// What happens while an idempotent request that a server has run waits for its second attempt.
enum class Meanwhile
{
  kNothing,
  kDeadServer,
  kQuotaExceeded,
  kQuotaUnknown,
  kStopping,
};

struct MeanwhileRow
{
  std::string name;
  Meanwhile meanwhile;
};

void Bring(PromiseFixture& aFixture, Meanwhile aMeanwhile)
{
  switch (aMeanwhile) {
    case Meanwhile::kNothing:
      break;
    case Meanwhile::kDeadServer:
      aFixture.Register(
        "dead", "127.0.0.1:" + std::to_string(testing::FreeEndpoint(aFixture.context).port()));
      break;
    case Meanwhile::kQuotaExceeded:
      aFixture.quotas.state = QuotaState::kExceeded;
      break;
    case Meanwhile::kQuotaUnknown:
      aFixture.quotas.state = QuotaState::kUnknown;
      break;
    case Meanwhile::kStopping:
      aFixture.forwarder.Stop(aFixture.timers.Now(), aFixture.timers.Now() + milliseconds(10));
      break;
  }
}

} // namespace

// Guards against REFUSED: a refusal of the daemon's own did not look at what had been sent.
TEST_CASE("a request that may have run is not refused while it waits", "[promises][route]")
{
  const auto row = GENERATE(values<MeanwhileRow>({
    { "no other server", Meanwhile::kNothing },
    { "the other server is dead", Meanwhile::kDeadServer },
    { "the quota is exceeded", Meanwhile::kQuotaExceeded },
    { "the quota is unknown", Meanwhile::kQuotaUnknown },
    { "the daemon stops", Meanwhile::kStopping },
  }));
  const auto idempotent = GENERATE(true, false);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(1, { Takes(Breaks("", After::kReset), milliseconds(60)) });
  fixture.RequireKeys();
  PromiseCaller& caller = fixture.NewCaller();
  caller.Send({ idempotent });
  REQUIRE(fixture.Until([&] { return fixture.servers.Arrived() == 1; }));
  Bring(fixture, row.meanwhile);
  CHECK(fixture.AwaitAnswer(caller) == 502);
  fixture.Run(kAfterwards);
  CheckTold(fixture);
}

namespace {

/// How a connection comes to carry nothing.
enum class Nothing
{
  kRefusedPort,
  kNoAddress,
  kFullBacklog,
};

/// A listener whose backlog is full: it completes no further connection until it accepts some.
class FullListener
{
public:
  explicit FullListener(asio::io_context& aContext)
    : mAcceptor(aContext, asio::ip::tcp::v4())
  {
    mAcceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    mAcceptor.listen(0);
    for (unsigned n = 0; n < kFillers; ++n) {
      asio::ip::tcp::socket& it = mFillers.emplace_back(aContext);
      it.async_connect(mAcceptor.local_endpoint(), [](const asio::error_code&) {});
    }
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  /// Accepts all connections that there are, and returns the number of bytes that came on them.
  std::size_t AcceptAll()
  {
    mAcceptor.non_blocking(true);
    asio::error_code ec;
    while (!ec) {
      asio::ip::tcp::socket socket(mAcceptor.get_executor());
      mAcceptor.accept(socket, ec);
      if (!ec) {
        socket.non_blocking(true);
        mAccepted.push_back(std::move(socket));
      }
    }
    std::array<char, 4096> buf{};
    for (asio::ip::tcp::socket& it : mAccepted) {
      asio::error_code end;
      mBytes += it.read_some(asio::buffer(buf), end);
    }
    return mBytes;
  }

private:
  static constexpr unsigned kFillers = 4;

  asio::ip::tcp::acceptor mAcceptor;
  std::deque<asio::ip::tcp::socket> mFillers;
  std::vector<asio::ip::tcp::socket> mAccepted;
  std::size_t mBytes = 0;
};

struct NothingRow
{
  std::string name;
  Nothing how;
};

} // namespace

// Guards against REFUSED: a byte arrives of a request that counts as not sent.
TEST_CASE("nothing arrives of a request for which no connection came about", "[promises][route]")
{
  const auto row = GENERATE(values<NothingRow>({
    { "refused-port", Nothing::kRefusedPort },
    { "unreachable: no address", Nothing::kNoAddress },
    { "unreachable: a full backlog, accepted late", Nothing::kFullBacklog },
  }));
  const auto idempotent = GENERATE(true, false);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(0, {});
  FullListener listener(fixture.context);
  fixture.Run(milliseconds(20));
  const std::string dead =
    "127.0.0.1:" + std::to_string(testing::FreeEndpoint(fixture.context).port());
  fixture.Register("a",
                   row.how == Nothing::kFullBacklog ? listener.Address()
                   : row.how == Nothing::kNoAddress ? "nowhere"
                                                    : dead);
  CHECK(fixture.Ask({ idempotent }) == 503);
  const auto until = std::chrono::steady_clock::now() + seconds(1);
  std::size_t bytes = 0;
  fixture.Until([&] {
    bytes = listener.AcceptAll();
    return std::chrono::steady_clock::now() >= until;
  });
  CHECK(bytes == 0);
}

namespace {

struct EndedRow
{
  std::string name;
  Accepting accepting;
  /// The daemon's loop stands still from when the server has accepted until it has ended the
  /// connection.
  bool heldUp;
};

constexpr unsigned kEndedRounds = 16;
constexpr Duration kHoldUp = milliseconds(60);

} // namespace

// Guards against REFUSED: a request was handed to a connection that counted as not accepted.
TEST_CASE("a promise after a connection that ended at once has no byte behind it",
          "[promises][route]")
{
  const auto row = GENERATE(values<EndedRow>({
    { "not-accepted: reset at once", Accepting::kReset, false },
    { "not-accepted: ended at once", Accepting::kEnd, false },
    { "not-accepted: ended when the request is written", Accepting::kEndSoon, false },
    { "not-accepted: ended after a moment", Accepting::kEndLate, false },
    { "not-accepted: reset at once, the loop held up", Accepting::kReset, true },
    { "not-accepted: ended at once, the loop held up", Accepting::kEnd, true },
    { "not-accepted: ended after a moment, the loop held up", Accepting::kEndLate, true },
  }));
  const auto idempotent = GENERATE(true, false);
  INFO(row.name << (idempotent ? ", idempotent" : ", may run once"));
  std::deque<PromiseFixture> fixtures;
  for (unsigned n = 0; n < kEndedRounds; ++n) {
    PromiseFixture& fixture =
      fixtures.emplace_back(1, std::vector<Step>{ Runs(200) }, row.accepting);
    fixture.NewCaller().Send({ idempotent });
    if (row.heldUp) {
      fixture.StepUntilAccepted(0);
    }
  }
  if (row.heldUp) {
    PromiseFixture::HoldUp(kHoldUp);
  }
  RunAllUntil(fixtures, [&] {
    return std::all_of(fixtures.begin(), fixtures.end(), [](const PromiseFixture& aFixture) {
      return !aFixture.callers.front()->answers.empty();
    });
  });
  RunAllFor(fixtures, kAfterwards);
  unsigned promises = 0;
  for (const PromiseFixture& it : fixtures) {
    REQUIRE(it.callers.front()->answers.size() == 1);
    const int status = it.callers.front()->answers.front().status;
    CHECK((status == 200 || status == 502 || status == 503));
    promises += status == 503 ? 1 : 0;
    CheckTold(it);
    if (status == 503) {
      CHECK(it.servers.Bytes() == 0);
    }
  }
  // The rounds must have shown what the row is about.
  if (!idempotent &&
      (row.heldUp || row.accepting == Accepting::kReset || row.accepting == Accepting::kEnd)) {
    CHECK(promises > 0);
  }
}

// Guards against TWICE and REFUSED: a kept connection that has ended counted as never written to.
TEST_CASE("a kept connection that its server has reset carries no false promise",
          "[promises][route]")
{
  const auto heldUp = GENERATE(true, false);
  const auto idempotent = GENERATE(true, false);
  INFO((heldUp ? "held up" : "not held up") << (idempotent ? ", idempotent" : ", may run once"));
  PromiseFixture fixture(1, { Runs(200) }, Accepting::kResetIdle);
  REQUIRE(fixture.Ask({ idempotent, "r0" }) == 200);
  PromiseCaller& caller = fixture.NewCaller();
  fixture.Run(milliseconds(5));
  caller.Send({ idempotent, "r1" });
  if (heldUp) {
    PromiseFixture::HoldUp(kHoldUp);
  }
  const int status = fixture.AwaitAnswer(caller);
  CHECK((status == 200 || status == 502));
  fixture.Run(kAfterwards);
  CheckTold(fixture);
}
