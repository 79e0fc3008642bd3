#include "tests/support/platform_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace hawthornlug::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWork{ 30 };
constexpr unsigned kSlots = 3;
/// How late a late refusal is, and a late copy of one.
constexpr milliseconds kLateRefusal{ 400 };
constexpr milliseconds kLateCopy{ 20 };

http::Response Status(int aStatus)
{
  http::Response response;
  response.status = aStatus;
  return response;
}

bool ResetsNew(const OddConduct* aConduct)
{
  return aConduct->action == OddAction::kResetNew;
}

} // namespace

Json ServerObject(const std::string& aService,
                  const std::string& aAddress,
                  const std::string& aState,
                  unsigned aSeq,
                  std::int64_t aBorn)
{
  return { { "Service", aService }, { "Address", aAddress }, { "Zone", "here" },
           { "Version", "v1" },     { "Capacity", kSlots },  { "State", aState },
           { "WarmupLeftS", 0 },    { "Seq", aSeq },         { "born", aBorn } };
}

StandInServer::StandInServer(PlatformFleet& aFleet,
                             std::string aId,
                             std::string aService,
                             std::string aAddress,
                             bool aKeyed)
  : mFleet(aFleet)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mAddress(std::move(aAddress))
  , mKeyed(aKeyed)
  , mServer(
      std::make_unique<testing::RawServer>(aFleet.Context(), *http::ParseEndpoint(mAddress), *this))
{
}

void StandInServer::Register(const std::string& aState)
{
  mState = aState;
  Heartbeat();
}

void StandInServer::Heartbeat()
{
  if (mState.empty() || mFleet.Store().IsDown()) {
    return;
  }
  mFleet.Store().Put("servers", mId, ServerObject(mService, mAddress, mState, ++mSeq, mBorn));
}

void StandInServer::Restart()
{
  mServer->Stop();
  mServer =
    std::make_unique<testing::RawServer>(mFleet.Context(), *http::ParseEndpoint(mAddress), *this);
  mServer->SetResetsNew(std::any_of(mOdd.begin(), mOdd.end(), ResetsNew));
  mHolds.clear();
  mWaiting.clear();
  mRefusedOnce.clear();
  mState.clear();
  mRunning = 0;
  mSeq = 0;
  ++mLife;
  mBorn =
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void StandInServer::SetSilent(bool aSilent)
{
  mSilent = aSilent;
  if (aSilent) {
    return;
  }
  const auto waiting = std::move(mWaiting);
  mWaiting.clear();
  for (const auto& [exchange, arrival] : waiting) {
    Handle(exchange, arrival);
  }
}

void StandInServer::SetOdd(std::vector<const OddConduct*> aConducts)
{
  mOdd = std::move(aConducts);
  mServer->SetResetsNew(std::any_of(mOdd.begin(), mOdd.end(), ResetsNew));
}

const StandInServer::Hold* StandInServer::FindHold(unsigned aKey) const
{
  const auto it = std::find_if(mHolds.begin(), mHolds.end(), [&](const Hold& aHold) {
    return aKey >= aHold.from && aKey <= aHold.to && aHold.until > steady_clock::now();
  });
  return it == mHolds.end() ? nullptr : &*it;
}

http::Response StandInServer::Order(const http::Request& aRequest, Time aArrival)
{
  const Json body = Json::parse(aRequest.body);
  const unsigned from = body.at("StartKey").get<unsigned>();
  const unsigned to = body.at("To").get<unsigned>();
  const auto token = body.at("fence").get<std::uint64_t>();
  const bool grants = aRequest.target == "/grant";
  for (const Hold& it : mHolds) {
    if (grants && it.from <= to && from <= it.to && it.token > token) {
      return Status(409);
    }
  }
  // What the order covers is taken off the earlier holds.
  std::vector<Hold> rest;
  for (const Hold& it : mHolds) {
    if (it.from < from) {
      rest.push_back({ it.from, std::min(it.to, from - 1), it.token, it.until, it.excused });
    }
    if (it.to > to) {
      rest.push_back({ std::max(it.from, to + 1), it.to, it.token, it.until, it.excused });
    }
  }
  const auto hold =
    grants ? milliseconds(static_cast<int>(body.at("HoldS").get<double>() * mSecond.count()))
           : milliseconds(0);
  rest.push_back({ from, to, token, aArrival + hold, mFleet.JustThawed() });
  mHolds = std::move(rest);
  if (grants) {
    mFleet.NoteGrant(*this, mHolds.back());
  }
  http::Response response = Status(200);
  if (!grants) {
    response.headers.Add("X-Hawthornlug-Handover", "h" + std::to_string(from));
  }
  if (std::exchange(mAnswersTwice, false)) {
    // Ends this answer in its last header; what the server adds ends the second. The product's
    // server would refuse to write it.
    response.headers.Add("X-Twice", "1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK");
  }
  return response;
}

void StandInServer::OnRequest(std::shared_ptr<http::Exchange> aExchange)
{
  if (mSilent) {
    mWaiting.emplace_back(std::move(aExchange), steady_clock::now());
    return;
  }
  Handle(aExchange, steady_clock::now());
}

void StandInServer::Handle(const std::shared_ptr<http::Exchange>& aExchange, Time aArrival)
{
  const http::Request& request = aExchange->Received();
  const auto expected = request.headers.Find("X-Hawthornlug-Expect-Instance");
  const auto refuse = [&](int aStatus) {
    http::Response response = Status(aStatus);
    response.headers.Add("X-Hawthornlug-Not-Executed", "1");
    response.headers.Add("X-Hawthornlug-Instance-Id", mId);
    aExchange->Respond(std::move(response));
  };
  if (expected && *expected != mId) {
    refuse(421);
    return;
  }
  if (mKeyed && (request.target == "/grant" || request.target == "/release")) {
    aExchange->Respond(Order(request, aArrival));
    return;
  }
  if (request.headers.Get("X-Hawthornlug-Attempt-Id").empty()) {
    refuse(400);
    return;
  }
  if (mKeyed) {
    const std::string key(request.headers.Get("X-Hawthornlug-Shard-Key"));
    if (key.empty() || !Holds(static_cast<unsigned>(std::stoul(key)))) {
      refuse(421);
      return;
    }
  }
  const std::string patience(request.headers.Get("X-Hawthornlug-Deadline-Ms"));
  const bool late =
    !patience.empty() && steady_clock::now() - aArrival >= milliseconds(std::stoll(patience));
  if (late || mRunning >= 2 * kSlots) {
    refuse(503);
    return;
  }
  if (mOdd.empty()) {
    Run(aExchange, nullptr);
  } else {
    HandleOddly(aExchange, *mOdd[mOddly++ % mOdd.size()]);
  }
}

void StandInServer::HandleOddly(const std::shared_ptr<http::Exchange>& aExchange,
                                const OddConduct& aConduct)
{
  const std::string id(aExchange->Received().headers.Get("X-Hawthornlug-Attempt-Id"));
  switch (aConduct.action) {
    case OddAction::kRunAndAnswer:
      Run(aExchange, &aConduct);
      return;
    case OddAction::kRunAndReset:
      NoteRun(aExchange->Received());
      testing::RawServer::Reset(*aExchange);
      return;
    case OddAction::kReset:
    case OddAction::kResetNew:
      testing::RawServer::Reset(*aExchange);
      return;
    case OddAction::kRefuse:
      RefuseOddly(aExchange, aConduct);
      return;
    case OddAction::kRefuseLate: {
      auto timer = std::make_shared<asio::steady_timer>(mFleet.Context(), kLateRefusal);
      timer->async_wait([this, aExchange, timer, &aConduct](const asio::error_code&) {
        RefuseOddly(aExchange, aConduct);
      });
      return;
    }
    case OddAction::kRefuseAndRun:
      if (mRefusedOnce.insert(id).second) {
        RefuseOddly(aExchange, aConduct);
      } else {
        Run(aExchange, nullptr);
      }
      return;
  }
}

void StandInServer::RefuseOddly(const std::shared_ptr<http::Exchange>& aExchange,
                                const OddConduct& aConduct)
{
  const std::string id(aExchange->Received().headers.Get("X-Hawthornlug-Attempt-Id"));
  const std::string answer = OddAnswer(aConduct, id, mId);
  if (aConduct.copyLater) {
    testing::RawServer::WriteLater(*aExchange, answer, kLateCopy);
  }
  testing::RawServer::Write(*aExchange, aConduct.copyAtOnce ? answer + answer : answer, false);
}

void StandInServer::NoteRun(const http::Request& aRequest)
{
  const std::string id(aRequest.headers.Get("X-Hawthornlug-Attempt-Id"));
  FleetLedger& ledger = mFleet.Ledger();
  if (aRequest.method == "POST") {
    ledger.told.NoteOnce(id);
  }
  ledger.told.NoteRun(id, mId + " life " + std::to_string(mLife));
  ledger.runAt[id] = steady_clock::now();
  ledger.lastRun = aRequest.headers;
  if (mKeyed) {
    mFleet.NoteRun(*this,
                   static_cast<unsigned>(
                     std::stoul(std::string(aRequest.headers.Get("X-Hawthornlug-Shard-Key")))));
  }
  ++mRuns;
}

void StandInServer::Run(const std::shared_ptr<http::Exchange>& aExchange,
                        const OddConduct* aConduct)
{
  const http::Request& request = aExchange->Received();
  const std::string id(request.headers.Get("X-Hawthornlug-Attempt-Id"));
  NoteRun(request);
  ++mRunning;
  auto timer = std::make_shared<asio::steady_timer>(mFleet.Context(), kWork);
  timer->async_wait([this, aExchange, timer, id, aConduct, life = mLife](const asio::error_code&) {
    if (life != mLife) {
      return;
    }
    --mRunning;
    if (aConduct != nullptr) {
      testing::RawServer::Write(*aExchange, OddAnswer(*aConduct, id, mId), false);
      return;
    }
    http::Response response = Status(200);
    response.headers.Add("X-Hawthornlug-Attempt-Id", id);
    response.headers.Add("X-Hawthornlug-Server-Seal", "seal-" + mId);
    response.headers.Add("X-Hawthornlug-Server-Load",
                         std::to_string(mRunning) + ",0," + std::to_string(kSlots));
    response.body = "answer to " + id;
    aExchange->Respond(std::move(response));
  });
}

} // namespace hawthornlug::test
