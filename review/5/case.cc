/// @file
/// Rule LOST: a daemon that is stopped as planned ends while requests that it has read still wait
/// for the new owner of their keys, and leaves them without an answer.

#include "../standins/fleet.hh"

namespace {

using namespace review;

/// GraceS and LossSlackS of the settings.
constexpr Millis kGrace{ 6000 };
constexpr Millis kLossSlack{ 200 };
constexpr int kDeadlineMs = 6000;

/// A client with a connection that it opened before the stop.
class WaitingClient
{
public:
  WaitingClient(Fleet& aFleet, const Fleet::Daemon& aDaemon, unsigned aNumber)
    : mFleet(aFleet)
    , mSocket(Socket::Connect(aDaemon.callers))
  {
    mRequest.id = "waiting-" + std::to_string(aNumber);
    mRequest.path = "/kread/40/" + std::to_string(aNumber);
    mRequest.key = static_cast<int>(aNumber * 997 % kKeys);
    mRequest.deadlineMs = kDeadlineMs;
  }

  void Send()
  {
    mSentAt = Clock::now();
    mIsSent = mSocket && mSocket->Send(Fleet::Serialize(mRequest));
    mFleet.Log().Write("client: sends " + mRequest.id + " key " + std::to_string(mRequest.key));
  }

  /// Waits for the answer; true if the connection ended without one, as rule LOST counts it.
  bool IsLost(Clock::time_point aStopAt)
  {
    const auto response = mSocket->Receive(mSentAt + Millis(kDeadlineMs));
    const auto now = Clock::now();
    const bool closed = !response && mSocket->HasEnded();
    mFleet.Log().Write("client: " + mRequest.id + " gets " +
                       (response ? response->Word(1)
                        : closed ? std::string("a closed connection")
                                 : std::string("nothing in time")));
    return mIsSent && closed && now - mSentAt > kLossSlack &&
           now < aStopAt + kGrace + std::chrono::seconds(1);
  }

  const std::string& Id() const { return mRequest.id; }

private:
  Fleet& mFleet;
  std::optional<Socket> mSocket;
  ClientRequest mRequest;
  Clock::time_point mSentAt;
  bool mIsSent = false;
};

int Run(const CaseOptions& aOptions)
{
  Fleet fleet(aOptions, 3);
  fleet.Configure(kDeadlineMs / 1000.0, 2.5);
  for (const char* it : { "i-a", "i-b", "i-c", "i-d", "i-e", "i-f" }) {
    fleet.AddUpstream({ .id = it, .service = "ledger", .keyed = true });
  }
  fleet.StartDaemons();
  if (!fleet.AwaitService(std::chrono::seconds(30))) {
    return kCouldNotRun;
  }
  Load load(fleet, 8, 20.0, [](unsigned aNumber) {
    ClientRequest request;
    request.path = "/kread/40/" + std::to_string(aNumber);
    request.id = "read-" + std::to_string(aNumber);
    request.key = static_cast<int>(Scramble(aNumber) % kKeys);
    request.deadlineMs = kDeadlineMs;
    return request;
  });
  std::this_thread::sleep_for(std::chrono::seconds(5));
  load.Stop();

  // A daemon that does not grant the keys.
  const std::string record = fleet.StoreOf().Find("hawthornlug-ranges", "ledger").dump();
  Fleet::Daemon* stopped = nullptr;
  Fleet::Daemon* other = nullptr;
  for (Fleet::Daemon& it : fleet.Daemons()) {
    (record.find(it.name) == std::string::npos && stopped == nullptr ? stopped : other) = &it;
  }
  std::list<WaitingClient> clients;
  for (unsigned n = 0; n < 40; ++n) {
    clients.emplace_back(fleet, *stopped, n);
  }
  const auto stopAt = Clock::now();
  if (aOptions.trouble) {
    fleet.Signal(*stopped, SIGTERM);
  }
  // Some slow requests, of the length that the pages give for the tail of the rate sheets.
  std::this_thread::sleep_until(stopAt + Millis(1800));
  std::vector<std::thread> slow;
  std::vector<int> keys;
  Upstream& leaving = fleet.At(0);
  for (unsigned key = 0; key < kKeys && keys.size() < 3; key += 512) {
    if (leaving.Holds(key)) {
      keys.push_back(static_cast<int>(key));
    }
  }
  for (const int key : keys) {
    slow.emplace_back([&fleet, other, key] {
      fleet.Ask(*other,
                { .method = "GET",
                  .path = "/kread/4400/slow",
                  .id = "slow-" + std::to_string(key),
                  .key = key,
                  .deadlineMs = kDeadlineMs });
    });
  }
  std::this_thread::sleep_until(stopAt + Millis(2250));
  leaving.Register("draining");
  std::this_thread::sleep_until(stopAt + Millis(2530));
  for (WaitingClient& it : clients) {
    it.Send();
  }
  std::vector<std::thread> readers;
  for (WaitingClient& it : clients) {
    readers.emplace_back([&fleet, &it, stopAt] {
      if (it.IsLost(stopAt)) {
        fleet.Log().Broken("LOST: " + it.Id() +
                           " was read and its connection ended without an answer");
      }
    });
  }
  for (std::thread& it : readers) {
    it.join();
  }
  for (std::thread& it : slow) {
    it.join();
  }
  return fleet.Log().Findings() > 0 ? kBroken : kHeld;
}

} // namespace

int main(int aCount, char** aWords)
{
  return review::RunCase(aCount, aWords, Run);
}
