/// @file
/// The whole way with real processes: servers that answer in odd forms, daemons, callers. What
/// callers are told of their requests is compared with what the servers have run.

#include "tests/support/loopback.h"
#include "tests/support/platform_fleet.h"
#include "tests/support/raw_server.h"
#include "tests/support/told_ledger.h"

#include <catch2/catch.hpp>

using namespace hawthornlug::test;
using namespace hawthornlug::testing;
namespace http = hawthornlug::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kStart{ 12 };
constexpr unsigned kDaemons = 3;
constexpr unsigned kSoundServers = 3;
/// How many requests the odd server runs in each form before the next one, unless it is left alone.
constexpr std::size_t kRunsWanted = 2;
constexpr unsigned kMostRequests = 400;
constexpr milliseconds kPause{ 5 };
/// How long a server may still run what its caller was told of.
constexpr milliseconds kAfterwards{ 300 };

constexpr std::string_view kLineEnd = "\r\n";

/// An answer of a server that has run its request. At the ends of lines, ID stands for the id of
/// the request and SELF for that of the server.
struct OddForm
{
  std::string name;
  std::string answer;
};

constexpr std::string_view kRun =
  "X-Hawthornlug-Attempt-Id: ID\r\nX-Hawthornlug-Server-Seal: s\r\n";

std::string Head(const std::string& aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + std::string(kRun) + aFields;
}

/// A server that runs all requests and answers them in one form.
class OddServer : public http::Handler
{
public:
  OddServer(asio::io_context& aContext, ToldLedger& aLedger, std::string aId, std::string aAnswer)
    : mLedger(aLedger)
    , mId(std::move(aId))
    , mAnswer(std::move(aAnswer))
    , mServer(aContext, FreeEndpoint(aContext), *this)
  {
  }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    const http::Request& request = aExchange->Received();
    const std::string id(request.headers.Get("X-Hawthornlug-Attempt-Id"));
    if (id.empty()) {
      http::Response response;
      response.status = 200;
      response.headers.Add("X-Hawthornlug-Instance-Id", mId);
      aExchange->Respond(std::move(response));
      return;
    }
    mLedger.NoteRun(id);
    ++runs;
    RawServer::Write(*aExchange, WithNames(mAnswer, id), false);
  }
  void OnBadRequest(int, http::ReadState) override {}
  std::string Address() const { return mServer.Address(); }

  std::size_t runs = 0;

private:
  std::string WithNames(std::string aText, const std::string& aRequestId) const
  {
    for (const auto& [word, name] : { std::pair{ "ID\r\n", aRequestId }, { "SELF\r\n", mId } }) {
      for (std::size_t at = 0; (at = aText.find(word, at)) != std::string::npos;) {
        aText.replace(at, std::string_view(word).size() - kLineEnd.size(), name);
      }
    }
    return aText;
  }

  ToldLedger& mLedger;
  std::string mId;
  std::string mAnswer;
  RawServer mServer;
};

/// A sound server, which notes what it runs.
class SoundServer : public http::Handler
{
public:
  SoundServer(asio::io_context& aContext, ToldLedger& aLedger)
    : mLedger(aLedger)
    , mServer(aContext, FreeEndpoint(aContext), *this)
  {
  }

  void OnRequest(std::shared_ptr<http::Exchange> aExchange) override
  {
    http::Response response;
    response.status = 200;
    const std::string id(aExchange->Received().headers.Get("X-Hawthornlug-Attempt-Id"));
    if (!id.empty()) {
      mLedger.NoteRun(id);
      response.headers.Add("X-Hawthornlug-Attempt-Id", id);
      response.headers.Add("X-Hawthornlug-Server-Seal", "seal");
    }
    aExchange->Respond(std::move(response));
  }
  void OnBadRequest(int, http::ReadState) override {}
  std::string Address() const { return mServer.Address(); }

private:
  ToldLedger& mLedger;
  RawServer mServer;
};

/// Sends one request, waits for its answer and notes what its caller is told.
void Ask(PlatformFleet& aFleet, http::Client& aClient, ToldLedger& aLedger, unsigned aNumber)
{
  const bool isUnsafe = aNumber % 2 == 0;
  const std::string id = "t" + std::to_string(aNumber);
  http::Request request;
  request.method = isUnsafe ? "POST" : "GET";
  request.target = isUnsafe ? "/write/x" : "/read/x";
  request.headers.Add("Host", "h.example");
  request.headers.Add("X-Hawthornlug-Attempt-Id", id);
  request.headers.Add("X-Hawthornlug-Deadline-Ms", "1000");
  if (isUnsafe) {
    aLedger.NoteOnce(id);
  }
  http::CallOptions options;
  options.timeout = seconds(3);
  bool ended = false;
  aClient.Send(aFleet.CallersAddress(aNumber % kDaemons),
               request,
               options,
               [&](const http::CallOutcome& aOutcome) {
                 ended = true;
                 if (aOutcome.result == http::CallResult::kAnswered) {
                   aLedger.NoteStatus(id, aOutcome.response.status);
                 }
               });
  REQUIRE(RunUntil(aFleet.Context(), [&] { return ended; }));
}

std::vector<OddForm> OddForms()
{
  const std::string empty = "Content-Length: 0\r\n\r\n";
  std::vector<OddForm> forms;
  for (const char* const status : { "408", "421", "429", "503" }) {
    forms.push_back({ std::string(status) + ", without a statement", Head(status, empty) });
    forms.push_back(
      { std::string(status) + ", stated in an interim answer only",
        "HTTP/1.1 102 X\r\nX-Hawthornlug-Not-Executed: 1\r\n\r\n" + Head(status, empty) });
    forms.push_back({ std::string(status) + ", stated in a trailer only",
                      Head(status,
                           "Transfer-Encoding: chunked\r\nTrailer: X-Hawthornlug-Not-Executed\r\n"
                           "\r\n0\r\nX-Hawthornlug-Not-Executed: 1\r\n\r\n") });
    forms.push_back(
      { std::string(status) + ", without the seal",
        "HTTP/1.1 " + std::string(status) + " X\r\nX-Hawthornlug-Attempt-Id: ID\r\n" + empty });
    forms.push_back(
      { std::string(status) + ", stated by a field of the body",
        Head(status, "Content-Length: 31\r\n\r\nX-Hawthornlug-Not-Executed: 1\r\n") });
  }
  forms.push_back({ "421, of the instance that was meant",
                    Head("421", "X-Hawthornlug-Instance-Id: SELF\r\n" + empty) });
  forms.push_back(
    { "200, with the statement", Head("200", "X-Hawthornlug-Not-Executed: 1\r\n" + empty) });
  forms.push_back(
    { "500, with the statement", Head("500", "X-Hawthornlug-Not-Executed: 1\r\n" + empty) });
  forms.push_back({ "500", Head("500", empty) });
  forms.push_back({ "504", Head("504", empty) });
  return forms;
}

} // namespace

// Guards against REFUSED: a status of a server that had run the request reached the caller as a
// promise.
TEST_CASE("no caller is told that a request has not run because of a server's status",
          "[promises][process]")
{
  PlatformFleet fleet(kDaemons, 0, 0);
  ToldLedger ledger;
  http::Client client(fleet.Context());
  std::vector<std::unique_ptr<SoundServer>> sound;
  for (unsigned n = 0; n < kSoundServers; ++n) {
    sound.push_back(std::make_unique<SoundServer>(fleet.Context(), ledger));
    fleet.RegisterOther("sound-" + std::to_string(n), "plain", sound.back()->Address());
  }
  for (unsigned n = 0; n < kDaemons; ++n) {
    REQUIRE(fleet.RunUntil([&] { return fleet.IsReady(n); }, kStart));
  }
  unsigned asked = 0;
  std::size_t known = 0;
  for (const OddForm& it : OddForms()) {
    INFO(it.name);
    const std::string id = "odd-" + std::to_string(asked);
    OddServer odd(fleet.Context(), ledger, id, it.answer);
    fleet.RegisterOther(id, "plain", odd.Address());
    for (unsigned n = 0; n < kMostRequests && odd.runs < kRunsWanted; ++n) {
      Ask(fleet, client, ledger, ++asked);
      fleet.RunFor(kPause);
    }
    fleet.Store().Remove("servers", id);
    fleet.RunFor(kAfterwards);
    CHECK(odd.runs > 0);
    for (; known < ledger.Falsehoods().size(); ++known) {
      FAIL_CHECK(ledger.Falsehoods()[known]);
    }
  }
}
