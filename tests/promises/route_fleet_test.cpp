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
/// Requests until the daemons know a new server.
constexpr unsigned kMostRequests = 300;
constexpr milliseconds kPause{ 10 };
/// How long a server may still run what its caller was told of.
constexpr milliseconds kAfterwards{ 300 };

constexpr std::string_view kLineEnd = "\r\n";

std::string IdOf(unsigned aNumber)
{
  return "t" + std::to_string(aNumber);
}

/// An answer of a server that has run its request. At the ends of lines, ID stands for the id of
/// the request and SELF for that of the server.
struct OddForm
{
  std::string name;
  std::string answer;
  /// What the caller gets.
  int told = 502;
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
    ran.insert(id);
    RawServer::Write(*aExchange, WithNames(mAnswer, id), false);
  }
  void OnBadRequest(int, http::ReadState) override {}
  std::string Address() const { return mServer.Address(); }

  /// Ids of the requests that it has run.
  std::set<std::string> ran;

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

/// Sends one request, waits for its answer, notes what its caller is told, and returns the status;
/// 0 if the connection ended without an answer.
int Ask(PlatformFleet& aFleet,
        http::Client& aClient,
        ToldLedger& aLedger,
        unsigned aNumber,
        bool aOnce)
{
  const std::string id = IdOf(aNumber);
  http::Request request;
  request.method = aOnce ? "POST" : "GET";
  request.target = aOnce ? "/write/x" : "/read/x";
  request.headers.Add("Host", "h.example");
  request.headers.Add("X-Hawthornlug-Attempt-Id", id);
  request.headers.Add("X-Hawthornlug-Deadline-Ms", "1000");
  if (aOnce) {
    aLedger.NoteOnce(id);
  }
  http::CallOptions options;
  options.timeout = seconds(3);
  std::optional<int> status;
  const auto done = [&](const http::CallOutcome& aOutcome) {
    status = aOutcome.result == http::CallResult::kAnswered ? aOutcome.response.status : 0;
  };
  aClient.Send(aFleet.CallersAddress(aNumber % kDaemons), request, options, done);
  REQUIRE(RunUntil(aFleet.Context(), [&] { return status.has_value(); }));
  aLedger.NoteStatus(id, *status);
  return *status;
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
  for (const char* const status : { "400", "408", "421", "429", "503" }) {
    forms.push_back({ std::string(status) + ", with the statement and the seal",
                      Head(status, "X-Hawthornlug-Not-Executed: 1\r\n" + empty) });
  }
  forms.push_back({ "421, of the instance that was meant",
                    Head("421", "X-Hawthornlug-Instance-Id: SELF\r\n" + empty) });
  forms.push_back(
    { "200, with the statement", Head("200", "X-Hawthornlug-Not-Executed: 1\r\n" + empty) });
  forms.push_back(
    { "500, with the statement", Head("500", "X-Hawthornlug-Not-Executed: 1\r\n" + empty) });
  forms.push_back({ "500", Head("500", empty), 500 });
  forms.push_back({ "504", Head("504", empty), 504 });
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
  for (unsigned n = 0; n < kDaemons; ++n) {
    REQUIRE(fleet.RunUntil([&] { return fleet.IsReady(n); }, kStart));
  }
  unsigned asked = 0;
  std::size_t known = 0;
  for (const OddForm& it : OddForms()) {
    for (const bool once : { true, false }) {
      INFO(it.name << (once ? ", runs once" : ", idempotent"));
      // The only one, and a new one each time: none is left alone for how it answered before.
      const std::string id = "odd-" + std::to_string(asked);
      OddServer odd(fleet.Context(), ledger, id, it.answer);
      fleet.RegisterOther(id, "plain", odd.Address());
      int status = 0;
      for (unsigned n = 0; n < kMostRequests && !odd.ran.contains(IdOf(asked)); ++n) {
        fleet.RunFor(kPause);
        status = Ask(fleet, client, ledger, ++asked, once);
      }
      CHECK(odd.ran.contains(IdOf(asked)));
      CHECK(status == it.told);
      fleet.Store().Remove("servers", id);
      fleet.RunFor(kAfterwards);
      for (; known < ledger.Falsehoods().size(); ++known) {
        FAIL_CHECK(ledger.Falsehoods()[known]);
      }
    }
  }
}
