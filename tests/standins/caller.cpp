/// @file
/// Stand-in for callers: open-loop load at a set rate with Zipf keys.
///
/// Flags: --targets URL,URL,..., --service NAME, --rate N (requests a second), --seconds N,
/// --keys N, --zipf X, --writes X (share of POST), --threads N, --seed N, --log FILE (one line a
/// write: request id, outcome, server), --prefix TEXT (of the keys), --direct 1 (no router).
/// Prints one JSON object with counts and latencies in microseconds, measured from the time at
/// which a request was due.

#include "tests/standins/flags.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <httplib.h>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

struct Plan
{
  std::vector<std::string> targets;
  std::string service;
  std::string prefix;
  double rate = 100.0;
  std::int64_t requests = 0;
  double writes = 0.0;
  std::uint64_t seed = 1;
  std::vector<double> cumulative;
  std::vector<std::pair<std::string, std::string>> headers;
};

struct Tally
{
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> reasons;
  std::vector<std::int64_t> latencies;
  std::vector<std::string> log;
  std::uint64_t wrongAnswers = 0;
};

std::vector<double> ZipfSums(std::int64_t aKeys, double aExponent)
{
  std::vector<double> sums;
  double sum = 0.0;
  for (std::int64_t n = 1; n <= aKeys; ++n) {
    sum += 1.0 / std::pow(static_cast<double>(n), aExponent);
    sums.push_back(sum);
  }
  return sums;
}

class Worker
{
public:
  Worker(const Plan& aPlan, std::size_t aIndex)
    : mPlan(aPlan)
    , mClient(aPlan.targets[aIndex % aPlan.targets.size()])
  {
    mClient.set_tcp_nodelay(true);
    mClient.set_keep_alive(true);
    mClient.set_read_timeout(std::chrono::seconds(10));
  }

  void Run(std::atomic<std::int64_t>& aNext, Clock::time_point aStart)
  {
    for (std::int64_t n = aNext++; n < mPlan.requests; n = aNext++) {
      const auto due = aStart + std::chrono::microseconds(static_cast<std::int64_t>(
                                  1e6 * static_cast<double>(n) / mPlan.rate));
      std::this_thread::sleep_until(due);
      One(n);
      mTally.latencies.push_back(
        std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - due).count());
    }
  }

  const Tally& Result() const { return mTally; }

private:
  void One(std::int64_t aNumber)
  {
    std::mt19937_64 random(mPlan.seed * 1000003 + static_cast<std::uint64_t>(aNumber));
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const double draw = unit(random) * mPlan.cumulative.back();
    const auto rank = std::lower_bound(mPlan.cumulative.begin(), mPlan.cumulative.end(), draw) -
                      mPlan.cumulative.begin();
    const bool write = unit(random) < mPlan.writes;
    const std::string id = "r" + std::to_string(mPlan.seed) + "-" + std::to_string(aNumber);
    httplib::Request request;
    request.method = write ? "POST" : "GET";
    request.path = "/" + mPlan.service + "/" + mPlan.prefix + std::to_string(rank);
    request.set_header("Idempotency-Key", id);
    for (const auto& [name, value] : mPlan.headers) {
      request.set_header(name.c_str(), value);
    }
    const httplib::Result result = mClient.send(request);
    Count(id, write, result);
  }

  void Count(const std::string& aId, bool aWrite, const httplib::Result& aResult)
  {
    std::string outcome = "connection-error";
    std::string server;
    if (aResult) {
      outcome = aResult->get_header_value("Hawthornlug-Outcome");
      server = aResult->get_header_value("Hawthornlug-Server");
      const std::string reason = aResult->get_header_value("Hawthornlug-Reason");
      if (!reason.empty()) {
        ++mTally.reasons[reason];
      }
      if (outcome == "done") {
        const json body = json::parse(aResult->body, nullptr, false);
        const bool own = body.is_object() && body.value("request_id", "") == aId;
        mTally.wrongAnswers += own ? 0 : 1;
      }
    }
    ++mTally.outcomes[outcome];
    if (aWrite) {
      mTally.log.push_back(aId + " " + outcome + " " + server);
    }
  }

  const Plan& mPlan;
  httplib::Client mClient;
  Tally mTally;
};

std::int64_t Percentile(const std::vector<std::int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto n = static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size()));
  return aSorted[std::min(n, aSorted.size() - 1)];
}

} // namespace

int main(int aCount, char** aWords)
{
  const standins::Flags flags(aCount, aWords);
  Plan plan;
  std::istringstream buf(flags.Text("targets", "http://127.0.0.1:8080"));
  std::string target;
  while (std::getline(buf, target, ',')) {
    plan.targets.push_back(target);
  }
  plan.service = flags.Text("service", "reservations");
  plan.prefix = flags.Text("prefix", "k");
  plan.rate = flags.Real("rate", 100.0);
  plan.requests = static_cast<std::int64_t>(plan.rate * flags.Real("seconds", 1.0));
  plan.writes = flags.Real("writes", 0.0);
  plan.seed = static_cast<std::uint64_t>(flags.Number("seed", 1));
  plan.cumulative = ZipfSums(flags.Number("keys", 1000), flags.Real("zipf", 1.0));
  if (flags.Number("direct", 0) != 0) {
    plan.headers = { { "Hawthornlug-Deadline", "9000000000000000" } };
  }
  const auto threads = static_cast<std::size_t>(flags.Number("threads", 16));
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::thread> running;
  std::atomic<std::int64_t> next{ 0 };
  // All workers stand before the first runs: a list that grows moves what the others read.
  for (std::size_t n = 0; n < threads; ++n) {
    workers.push_back(std::make_unique<Worker>(plan, n));
  }
  running.reserve(threads);
  const auto start = Clock::now();
  for (const auto& it : workers) {
    running.emplace_back([&next, start, worker = it.get()] { worker->Run(next, start); });
  }
  for (std::thread& it : running) {
    it.join();
  }
  const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
  Tally all;
  for (const auto& it : workers) {
    const Tally& one = it->Result();
    for (const auto& [name, n] : one.outcomes) {
      all.outcomes[name] += n;
    }
    for (const auto& [name, n] : one.reasons) {
      all.reasons[name] += n;
    }
    all.latencies.insert(all.latencies.end(), one.latencies.begin(), one.latencies.end());
    all.log.insert(all.log.end(), one.log.begin(), one.log.end());
    all.wrongAnswers += one.wrongAnswers;
  }
  std::sort(all.latencies.begin(), all.latencies.end());
  const std::string file = flags.Text("log", "");
  if (!file.empty()) {
    std::FILE* out = std::fopen(file.c_str(), "we");
    for (const std::string& it : all.log) {
      std::fprintf(out, "%s\n", it.c_str());
    }
    std::fclose(out);
  }
  const json doc = { { "requests", all.latencies.size() },
                     { "rate", static_cast<double>(all.latencies.size()) / elapsed },
                     { "outcomes", all.outcomes },
                     { "reasons", all.reasons },
                     { "wrong_answers", all.wrongAnswers },
                     { "p50_us", Percentile(all.latencies, 0.5) },
                     { "p99_us", Percentile(all.latencies, 0.99) },
                     { "p999_us", Percentile(all.latencies, 0.999) },
                     { "max_us", all.latencies.empty() ? 0 : all.latencies.back() } };
  std::cout << doc.dump() << std::endl;
  return 0;
}
