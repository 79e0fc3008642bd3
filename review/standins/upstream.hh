/// @file
/// Stand-in of an upstream, as the platform's pages describe it: slots and a queue, fenced grants
/// of keys, drops the work of a connection that closes. Faults are added by the cases.
#pragma once

#include "store.hh"

#include <algorithm>
#include <memory>
#include <sstream>

namespace review {

constexpr unsigned kKeys = 65536;
/// Longest time for which two upstreams may hold the same keys (rule OWNER).
constexpr Millis kMaxCommonHold{ 500 };

class Upstream;

/// Sees what all upstreams do, and checks the rules that concern several of them.
class Ledger
{
public:
  explicit Ledger(Record& aRecord)
    : mRecord(aRecord)
    , mThread([this] { CheckHolders(); })
  {
  }
  ~Ledger() { Stop(); }

  void Add(Upstream& aUpstream)
  {
    const std::lock_guard lock(mMutex);
    mUpstreams.push_back(&aUpstream);
  }

  void Stop()
  {
    if (!mStopping.exchange(true)) {
      mThread.join();
    }
  }

  /// Counts a run of a request that a client sent with this id.
  void OnRun(const std::string& aId, bool aIdempotent, const std::string& aUpstream);
  unsigned Runs(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRuns.find(aId);
    return it == mRuns.end() ? 0 : it->second;
  }
  /// Checks a grant that an upstream has just accepted.
  void OnGranted(const Upstream& aTo, unsigned aFrom, unsigned aLast);

  Record& Log() { return mRecord; }

private:
  void CheckHolders();

  Record& mRecord;
  std::mutex mMutex;
  std::vector<Upstream*> mUpstreams;
  std::map<std::string, unsigned> mRuns;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

struct UpstreamOptions
{
  std::string id;
  std::string service;
  std::string zone;
  Address address;
  bool keyed = false;
  unsigned slots = 4;
  unsigned queue = 16;
};

class Upstream
{
public:
  /// What kind of answer one is, for the faults of the cases.
  enum class AnswerKind
  {
    kCommand,        ///< To a grant or a release.
    kCommandRefusal, ///< 421 to a grant or a release.
    kRefusal,        ///< To a request that was not run.
    kDone,
    kHealth,
  };
  Upstream(UpstreamOptions aOptions, Store& aStore, Ledger& aLedger)
    : mOptions(std::move(aOptions))
    , mStore(aStore)
    , mLedger(aLedger)
    , mHolds(kKeys)
  {
    mLedger.Add(*this);
  }
  ~Upstream() { Stop(); }

  const std::string& Id() const { return mOptions.id; }
  bool IsUp() const { return mUp; }

  /// From now on the upstream is faulty: it writes some answers of this kind once more where the
  /// next one is due on their connections. They are @p aShare of all its answers at the most.
  void BeginRepeating(AnswerKind aKind, double aShare)
  {
    const std::lock_guard lock(mFaultMutex);
    mFault = Fault{ aKind, aShare, 0, 0 };
  }
  void EndRepeating()
  {
    const std::lock_guard lock(mFaultMutex);
    if (mFault) {
      mLedger.Log().Write("upstream " + Id() + " has repeated " + std::to_string(mFault->repeats) +
                          " of " + std::to_string(mFault->answers) + " answers");
    }
    mFault.reset();
  }

  /// Starts a boot of the upstream; it holds and knows nothing of an earlier one.
  void Start(const std::string& aId)
  {
    mOptions.id = aId;
    {
      const std::lock_guard lock(mMutex);
      mHolds.assign(kKeys, Hold());
      mRunningKeys.clear();
      mRunning = 0;
      mWaiting = 0;
    }
    mBorn = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    mCrashed = false;
    mUp = true;
    mListener =
      std::make_unique<Listener>(mOptions.address, [this](Socket& aSocket) { Serve(aSocket); });
    mLedger.Log().Write("upstream " + Id() + " listens at " + mOptions.address.Text());
  }

  /// Ends the process: its work and its connections end at once, its holds with it.
  void Stop()
  {
    if (!mUp.exchange(false)) {
      return;
    }
    mCrashed = true;
    mSlotFree.notify_all();
    mListener.reset();
    mLedger.Log().Write("upstream " + Id() + " has ended");
  }

  Json Entry(const std::string& aState) const
  {
    return { { "Service", mOptions.service },
             { "Address", mOptions.address.Text() },
             { "Zone", mOptions.zone },
             { "Version", "v1" },
             { "Capacity", mOptions.slots },
             { "State", aState },
             { "WarmupLeftS", 0 },
             { "Seq", mSequence },
             { "born", mBorn } };
  }

  void Register(const std::string& aState)
  {
    ++mSequence;
    mStore.Put("servers", Id(), Entry(aState));
  }

  /// Number of requests that reached it, those excepted that it refused with 421.
  unsigned Arrivals() const { return mArrivals; }

  /// Whether the upstream would run a request for the key now.
  bool Holds(unsigned aKey)
  {
    const std::lock_guard lock(mMutex);
    return mUp && mHolds[aKey].IsValid();
  }
  /// A copy of which keys are held, for checks of all of them.
  std::vector<bool> HeldKeys(unsigned aStep)
  {
    std::vector<bool> held;
    const std::lock_guard lock(mMutex);
    for (unsigned key = 0; key < kKeys; key += aStep) {
      held.push_back(mUp && mHolds[key].IsValid());
    }
    return held;
  }
  unsigned CountHeld()
  {
    const std::vector<bool> held = HeldKeys(256);
    return static_cast<unsigned>(std::count(held.begin(), held.end(), true));
  }
  /// A key of the given range at which the upstream works and whose hold, released or not, would
  /// not have run out yet; -1 if there is none.
  int KeyAtWork(unsigned aFrom, unsigned aLast)
  {
    const std::lock_guard lock(mMutex);
    for (const unsigned key : mRunningKeys) {
      if (mUp && key >= aFrom && key <= aLast && Clock::now() < mHolds[key].until) {
        return static_cast<int>(key);
      }
    }
    return -1;
  }

private:
  struct Hold
  {
    std::uint64_t fence = 0;
    bool held = false;
    /// When the grant ends; stays as it was when the keys are released.
    Clock::time_point until;

    bool IsValid() const { return held && Clock::now() < until; }
  };

  /// A time in which answers are written once more.
  struct Fault
  {
    AnswerKind kind = AnswerKind::kDone;
    double share = 0.0;
    unsigned answers = 0;
    unsigned repeats = 0;
  };

  bool IsFaulty()
  {
    const std::lock_guard lock(mFaultMutex);
    return mFault.has_value();
  }

  /// Counts an answer and decides whether it is to be written once more.
  bool IsRepeated(AnswerKind aKind)
  {
    const std::lock_guard lock(mFaultMutex);
    if (!mFault) {
      return false;
    }
    ++mFault->answers;
    if (aKind != mFault->kind || mFault->repeats + 1 > mFault->share * mFault->answers) {
      return false;
    }
    ++mFault->repeats;
    return true;
  }

  void Serve(Socket& aSocket)
  {
    std::string repeated;
    auto idleSince = Clock::now();
    while (!mCrashed) {
      if (!aSocket.IsReadable(Millis(20))) {
        if (Clock::now() - idleSince > std::chrono::seconds(10)) {
          return;
        }
        continue;
      }
      const auto request = aSocket.Receive(Clock::now() + std::chrono::seconds(5));
      if (!request) {
        return;
      }
      if (!repeated.empty() && IsFaulty()) {
        mLedger.Log().Write("upstream " + Id() + " writes once more: " +
                            repeated.substr(0, repeated.find('\r')) + " ...");
        aSocket.Send(repeated);
      }
      repeated.clear();
      AnswerKind kind = AnswerKind::kDone;
      const auto response = Handle(*request, aSocket, kind);
      if (!response || mCrashed || !aSocket.Send(response->Serialize())) {
        if (mCrashed) {
          aSocket.Reset();
        }
        return;
      }
      if (IsRepeated(kind)) {
        repeated = response->Serialize();
      }
      idleSince = Clock::now();
    }
    aSocket.Reset();
  }

  std::optional<Message> Handle(const Message& aRequest, Socket& aSocket, AnswerKind& aKind)
  {
    const std::string target = aRequest.Word(1);
    const bool isCommand = target == "/grant" || target == "/release";
    const std::string expected = aRequest.Get("X-Hawthornlug-Expect-Instance");
    if (!expected.empty() && expected != Id()) {
      aKind = isCommand ? AnswerKind::kCommandRefusal : AnswerKind::kRefusal;
      mLedger.Log().Write("upstream " + Id() + " is not " + expected + ": 421 to " + target);
      return Refusal(421, aRequest);
    }
    if (isCommand) {
      aKind = AnswerKind::kCommand;
      return target == "/grant" ? Grant(aRequest) : Release(aRequest);
    }
    if (target == "/health") {
      aKind = AnswerKind::kHealth;
      Message response = MakeResponse(200);
      response.headers.emplace_back("X-Hawthornlug-Instance-Id", Id());
      return response;
    }
    return Request(aRequest, aSocket, aKind);
  }

  Message Refusal(int aStatus, const Message& aRequest) const
  {
    Message response = MakeResponse(aStatus);
    response.headers.emplace_back("X-Hawthornlug-Not-Executed", "1");
    response.headers.emplace_back("X-Hawthornlug-Instance-Id", Id());
    const std::string id = aRequest.Get("X-Hawthornlug-Attempt-Id");
    if (!id.empty()) {
      response.headers.emplace_back("X-Hawthornlug-Attempt-Id", id);
    }
    return response;
  }

  Message Grant(const Message& aRequest)
  {
    const Json body = Json::parse(aRequest.body);
    const auto from = body.at("StartKey").get<unsigned>();
    const auto last = body.at("To").get<unsigned>();
    const auto fence = body.at("fence").get<std::uint64_t>();
    const auto hold = Millis(static_cast<int>(body.at("HoldS").get<double>() * 1000));
    bool isNew = false;
    {
      const std::lock_guard lock(mMutex);
      for (unsigned key = from; key <= last; ++key) {
        if (mHolds[key].fence > fence) {
          mLedger.Log().Write("upstream " + Id() + " refuses grant " + aRequest.body);
          return MakeResponse(409);
        }
      }
      for (unsigned key = from; key <= last; ++key) {
        isNew = isNew || !mHolds[key].IsValid() || mHolds[key].fence != fence;
        mHolds[key] = { fence, true, Clock::now() + hold };
      }
    }
    if (isNew) {
      mLedger.Log().Write("upstream " + Id() + " accepts grant " + aRequest.body);
      mLedger.OnGranted(*this, from, last);
    }
    return MakeResponse(200);
  }

  /// Stops new work on the keys at once; answers when the work that runs on them has ended.
  std::optional<Message> Release(const Message& aRequest)
  {
    const Json body = Json::parse(aRequest.body);
    const auto from = body.at("StartKey").get<unsigned>();
    const auto last = body.at("To").get<unsigned>();
    const auto fence = body.at("fence").get<std::uint64_t>();
    mLedger.Log().Write("upstream " + Id() + " is asked to release " + aRequest.body);
    std::unique_lock lock(mMutex);
    for (unsigned key = from; key <= last; ++key) {
      mHolds[key].held = mHolds[key].held && mHolds[key].fence > fence;
    }
    const auto hasWork = [&] {
      return std::any_of(mRunningKeys.begin(), mRunningKeys.end(), [&](unsigned aKey) {
        return aKey >= from && aKey <= last;
      });
    };
    while (hasWork() && !mCrashed) {
      mSlotFree.wait_for(lock, Millis(20));
    }
    lock.unlock();
    mLedger.Log().Write("upstream " + Id() + " has released " + std::to_string(from) + " to " +
                        std::to_string(last));
    Message response = MakeResponse(200);
    response.headers.emplace_back("X-Hawthornlug-Handover", "h" + std::to_string(from));
    return response;
  }

  /// The milliseconds of work that a request asks for: the second part of its path.
  static Millis WorkOf(const std::string& aTarget)
  {
    const std::size_t slash = aTarget.find('/', 1);
    return Millis(slash == std::string::npos ? 20 : std::atoi(aTarget.c_str() + slash + 1));
  }

  std::optional<Message> Request(const Message& aRequest, Socket& aSocket, AnswerKind& aKind)
  {
    const std::string id = aRequest.Get("X-Hawthornlug-Attempt-Id");
    const std::string keyText = aRequest.Get("X-Hawthornlug-Shard-Key");
    const unsigned key = static_cast<unsigned>(std::atoi(keyText.c_str()));
    const auto deadline =
      Clock::now() + Millis(std::atoi(aRequest.Get("X-Hawthornlug-Deadline-Ms").c_str()));
    const auto refuse = [&](int aStatus) {
      aKind = AnswerKind::kRefusal;
      mLedger.Log().Write("upstream " + Id() + " does not run " + id + ": " +
                          std::to_string(aStatus));
      return Refusal(aStatus, aRequest);
    };
    if (id.empty()) {
      return refuse(400);
    }
    std::unique_lock lock(mMutex);
    const auto isMissingKey = [&] {
      return mOptions.keyed && (keyText.empty() || key >= kKeys || !mHolds[key].IsValid());
    };
    if (isMissingKey()) {
      return refuse(421);
    }
    ++mArrivals;
    if (mRunning >= mOptions.slots) {
      if (mWaiting >= mOptions.queue) {
        return refuse(503);
      }
      ++mWaiting;
      while (mRunning >= mOptions.slots && Clock::now() < deadline && !mCrashed &&
             !aSocket.HasPeerLeft()) {
        mSlotFree.wait_for(lock, Millis(10));
      }
      --mWaiting;
      if (mCrashed || aSocket.HasPeerLeft()) {
        return std::nullopt;
      }
      if (mRunning >= mOptions.slots) {
        return refuse(503);
      }
      if (isMissingKey()) {
        return refuse(421);
      }
    }
    ++mRunning;
    if (mOptions.keyed) {
      mRunningKeys.insert(key);
    }
    lock.unlock();
    aKind = AnswerKind::kDone;
    mLedger.OnRun(id, aRequest.Word(0) == "GET", Id());
    const auto done = Clock::now() + WorkOf(aRequest.Word(1));
    while (Clock::now() < std::min(done, deadline) && !mCrashed && !aSocket.HasPeerLeft()) {
      std::this_thread::sleep_for(std::min<Clock::duration>(
        Millis(5), std::max<Clock::duration>(done - Clock::now(), Millis(0))));
    }
    const bool dropped = Clock::now() < std::min(done, deadline);
    lock.lock();
    --mRunning;
    if (mOptions.keyed) {
      mRunningKeys.erase(mRunningKeys.find(key));
    }
    // Work that outlasts its lease ends with 500.
    const bool outlasted = mOptions.keyed && Clock::now() >= mHolds[key].until;
    const std::string load = std::to_string(mRunning) + "," + std::to_string(mWaiting) + "," +
                             std::to_string(mOptions.slots);
    lock.unlock();
    mSlotFree.notify_all();
    if (dropped) {
      mLedger.Log().Write("upstream " + Id() + " drops " + id);
      return std::nullopt;
    }
    Message response = MakeResponse(outlasted ? 500 : Clock::now() < done ? 504 : 200);
    response.headers.emplace_back("X-Hawthornlug-Attempt-Id", id);
    response.headers.emplace_back("X-Hawthornlug-Server-Seal", "seal-" + Id() + "-" + id);
    response.headers.emplace_back("X-Hawthornlug-Server-Load", load);
    response.body = "answer to " + id;
    mLedger.Log().Write("upstream " + Id() + " answers " + id + " with " + response.Word(1));
    return response;
  }

  UpstreamOptions mOptions;
  Store& mStore;
  Ledger& mLedger;
  std::mutex mFaultMutex;
  std::optional<Fault> mFault;
  std::mutex mMutex;
  std::condition_variable mSlotFree;
  std::vector<Hold> mHolds;
  std::multiset<unsigned> mRunningKeys;
  unsigned mRunning = 0;
  unsigned mWaiting = 0;
  std::int64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  std::atomic<unsigned> mArrivals{ 0 };
  std::atomic<bool> mUp{ false };
  std::atomic<bool> mCrashed{ false };
  std::unique_ptr<Listener> mListener;
};

inline void Ledger::OnRun(const std::string& aId, bool aIdempotent, const std::string& aUpstream)
{
  unsigned runs = 0;
  {
    const std::lock_guard lock(mMutex);
    runs = ++mRuns[aId];
  }
  mRecord.Write("upstream " + aUpstream + " runs " + aId);
  if (runs > 1 && !aIdempotent) {
    mRecord.Broken("TWICE: " + aId + " runs for the " + std::to_string(runs) + ". time, at " +
                   aUpstream);
  }
}

inline void Ledger::OnGranted(const Upstream& aTo, unsigned aFrom, unsigned aLast)
{
  std::vector<Upstream*> upstreams;
  {
    const std::lock_guard lock(mMutex);
    upstreams = mUpstreams;
  }
  for (Upstream* it : upstreams) {
    const int key = it == &aTo ? -1 : it->KeyAtWork(aFrom, aLast);
    if (key >= 0) {
      mRecord.Broken("OWNER: " + aTo.Id() + " is given key " + std::to_string(key) + " at which " +
                     it->Id() + " is still at work, before its hold would have run out");
    }
  }
}

inline void Ledger::CheckHolders()
{
  constexpr unsigned kStep = 16;
  std::vector<Clock::time_point> commonSince(kKeys / kStep);
  while (!mStopping) {
    std::this_thread::sleep_for(Millis(20));
    std::vector<Upstream*> upstreams;
    {
      const std::lock_guard lock(mMutex);
      upstreams = mUpstreams;
    }
    std::vector<unsigned> holders(kKeys / kStep);
    for (Upstream* it : upstreams) {
      const std::vector<bool> held = it->HeldKeys(kStep);
      for (std::size_t n = 0; n < held.size(); ++n) {
        holders[n] += held[n] ? 1 : 0;
      }
    }
    const auto now = Clock::now();
    for (std::size_t n = 0; n < holders.size(); ++n) {
      if (holders[n] < 2) {
        commonSince[n] = Clock::time_point();
      } else if (commonSince[n] == Clock::time_point()) {
        commonSince[n] = now;
      } else if (now - commonSince[n] > kMaxCommonHold) {
        mRecord.Broken("OWNER: two upstreams that are up hold the same keys for over 0.5 s");
      }
    }
  }
}

} // namespace review
