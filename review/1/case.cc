/// @file
/// Rules TWICE and REFUSED: a request that was refused with 421 is sent once more on the same
/// connection. A refusal that the upstream writes once more there bears the id of this request, and
/// is taken as a second refusal while the upstream runs it.

#include "../standins/fleet.hh"

namespace {

using namespace review;

/// Largest share of its answers that the faulty upstream writes once more.
constexpr double kMaxRepeatedShare = 0.03;
constexpr int kBoots = 10;

int Run(const CaseOptions& aOptions)
{
  Fleet fleet(aOptions, 8);
  fleet.Configure(0.6, 0.25);
  for (const char* it : { "i-a", "i-b", "i-c", "i-d", "i-e", "i-f", "i-g", "i-h" }) {
    fleet.AddUpstream({ .id = it, .service = "ledger", .keyed = true });
  }
  fleet.StartDaemons();
  if (!fleet.AwaitService(std::chrono::seconds(30))) {
    return kCouldNotRun;
  }
  Load load(fleet, 48, 120.0, [](unsigned aNumber) {
    ClientRequest request;
    request.method = "POST";
    request.path = "/kwrite/78/" + std::to_string(aNumber);
    request.id = "write-" + std::to_string(aNumber);
    request.deadlineMs = 600;
    request.key = static_cast<int>(Scramble(aNumber) % kKeys);
    return request;
  });
  Upstream& upstream = fleet.At(0);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (int boot = 0; boot < kBoots; ++boot) {
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (aOptions.trouble) {
      upstream.BeginRepeating(Upstream::AnswerKind::kRefusal, kMaxRepeatedShare);
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    // It starts again under its own id. Its first heartbeat follows within an interval of them.
    upstream.Stop();
    std::this_thread::sleep_for(Millis(5));
    upstream.Start(upstream.Id());
    std::this_thread::sleep_for(Millis(150));
    upstream.Register("ready");
    std::this_thread::sleep_for(Millis(1800));
    upstream.EndRepeating();
  }
  load.Stop();
  fleet.CheckRefused();
  fleet.Log().Write("served " + std::to_string(load.Served()) + " of " +
                    std::to_string(load.Sent()));
  if (load.Served() * 2 < load.Sent()) {
    return kCouldNotRun;
  }
  return fleet.Log().Findings() > 0 ? kBroken : kHeld;
}

} // namespace

int main(int aCount, char** aWords)
{
  return review::RunCase(aCount, aWords, Run);
}
