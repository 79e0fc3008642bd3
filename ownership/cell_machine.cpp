#include "ownership/cell_machine.h"

#include "core/hashing.h"

#include <algorithm>
#include <sstream>

namespace hawthornlug {

namespace {

/// Added to an epoch when an heir may have used the next one from memory.
constexpr Epoch kUnseenHeirStep = 2;

} // namespace

CellMachine::CellMachine(std::string aCell, DaemonRef aSelf, CellTimings aTimings)
  : mCell(std::move(aCell))
  , mSelf(std::move(aSelf))
  , mTimings(aTimings)
{
}

// --- Settings -------------------------------------------------------------------------------

void CellMachine::SetServers(Instant aNow, const std::vector<CellServerSpec>& aServers)
{
  mSettled = false;
  for (auto& [id, server] : mServers) {
    server.spec.accepting = false;
  }
  for (const CellServerSpec& it : aServers) {
    ServerState& server = mServers[it.id];
    server.spec = it;
  }
  Pump(aNow);
}

void CellMachine::SetLongestOrder(Duration aLongest)
{
  mTimings.longestOrder = std::max(mTimings.longestOrder, aLongest);
}

void CellMachine::SetInitialShards(std::vector<ShardId> aShards)
{
  mInitialShards = std::move(aShards);
}

// --- Attachment -----------------------------------------------------------------------------

void CellMachine::TakeOver(Instant aNow)
{
  if (mRole != CellRole::kIdle || mWriting || mReading) {
    return;
  }
  if (!mBaseKnown) {
    mReading = true;
    mActions.emplace_back(ReadCell{});
    return;
  }
  if (mBaseVersion != 0 && mBase.attached == mSelf) {
    AttachAfterWrite(aNow);
    return;
  }
  if (!MayTake()) {
    return;
  }
  mRole = CellRole::kTaking;
  StartWrite(mBaseVersion == 0 ? InitialObject() : TakenObject());
}

std::vector<DaemonRef> CellMachine::WantedEvidence() const
{
  std::set<DaemonRef> wanted;
  if (mRole == CellRole::kIdle && mBaseVersion != 0 && mBase.attached != mSelf) {
    wanted.insert(mBase.attached);
  }
  for (const auto& [id, record] : mBase.servers) {
    wanted.insert(record.holders.begin(), record.holders.end());
  }
  std::erase_if(wanted, [this](const DaemonRef& aRef) { return mGone.count(aRef) != 0; });
  return { wanted.begin(), wanted.end() };
}

bool CellMachine::MayTake() const
{
  const bool unchecked = std::any_of(mServers.begin(), mServers.end(), [](const auto& aServer) {
    return !aServer.second.spec.checked;
  });
  // Nothing but its absence keeps a daemon from giving orders to a server that does not check them.
  return !unchecked || mBaseVersion == 0 || WantedEvidence().empty();
}

void CellMachine::HandOver(Instant aNow, const DaemonRef& aTo)
{
  mSettled = false;
  if (mRole != CellRole::kAttached || aTo == mSelf) {
    return;
  }
  mRole = CellRole::kLeaving;
  mLeaveTo = aTo;
  Pump(aNow);
}

CellObject CellMachine::InitialObject() const
{
  CellObject object;
  object.attached = mSelf;
  object.token = 1;
  std::vector<std::string> names;
  for (const auto& [id, server] : mServers) {
    object.servers[id] = ServerRecord{};
    names.push_back(id);
  }
  if (names.empty()) {
    return object;
  }
  std::size_t n = 0;
  for (const ShardId shard : mInitialShards) {
    ShardRecord record;
    record.owner = names[n % names.size()];
    record.heir = names.size() > 1 ? names[(n + 1) % names.size()] : std::string();
    record.epoch = 1;
    object.shards.emplace(shard, std::move(record));
    ++n;
  }
  return object;
}

CellObject CellMachine::TakenObject() const
{
  CellObject object = mBase;
  for (auto& [id, record] : object.servers) {
    const bool listed = std::find(record.holders.begin(), record.holders.end(), mBase.attached) !=
                        record.holders.end();
    if (!listed) {
      record.holders.push_back(mBase.attached);
    }
  }
  object.attached = mSelf;
  object.token = mBase.token + 1;
  return object;
}

CellObject CellMachine::HandedOverObject() const
{
  CellObject object = DesiredObject();
  object.attached = *mLeaveTo;
  object.token = mToken + 1;
  return object;
}

void CellMachine::AttachAfterWrite(Instant aNow)
{
  mSettled = false;
  mRole = CellRole::kAttached;
  mToken = mBase.token;
  mTakenAt = aNow;
  mRetryAt = aNow;
  mMustRead = false;
  mOuts = mBase.outs;
  mArrived = mBase.arrivals;
  mShards.clear();
  for (const auto& [shard, record] : mBase.shards) {
    mShards[shard].record = record;
  }
  for (auto& [id, server] : mServers) {
    const CellServerSpec spec = server.spec;
    // Numbers go on, so that an answer to an earlier attachment's call matches none of this one's.
    const CallNumber number = server.number;
    server = ServerState{};
    server.spec = spec;
    server.number = number;
    server.nextCallAt = aNow;
  }
  AddUnlistedServers();
  Note(CellEvent::kTaken, 0, mSelf.id, mToken);
  Pump(aNow);
}

void CellMachine::AddUnlistedServers()
{
  for (const auto& [id, record] : mBase.servers) {
    if (mServers.find(id) == mServers.end()) {
      ServerState& server = mServers[id];
      server.spec.id = id;
      server.spec.accepting = false;
    }
  }
}

void CellMachine::BecomeIdle()
{
  mRole = CellRole::kIdle;
  mShards.clear();
  mOuts.clear();
  mIncoming.clear();
  mArrived.clear();
  mToRead.clear();
  mReadingOther.clear();
  mWriting.reset();
  mUnknownWrites.clear();
  mWriteFailingSince.reset();
  mLeaveTo.reset();
  mMustRead = false;
  for (auto& [id, server] : mServers) {
    ForgetGrants(server);
    server.busy = false;
    server.status = ServerStatus::kUnknown;
  }
}

// --- Moves ----------------------------------------------------------------------------------

bool CellMachine::MoveShard(Instant aNow, ShardId aShard, const std::string& aServer)
{
  const auto it = mShards.find(aShard);
  if (mRole != CellRole::kAttached || it == mShards.end()) {
    return false;
  }
  ShardState& state = it->second;
  if (state.phase != ShardPhase::kServing || state.record.owner == aServer) {
    return false;
  }
  const bool platformDoubtful = mWriteFailingSince || mMustRead;
  if (!IsUsable(aServer) || platformDoubtful) {
    return false;
  }
  BeginMove(aNow, state, aServer, {});
  return true;
}

bool CellMachine::SendShard(Instant aNow, ShardId aShard, const std::string& aCell)
{
  const auto it = mShards.find(aShard);
  if (mRole != CellRole::kAttached || it == mShards.end() || aCell == mCell) {
    return false;
  }
  ShardState& state = it->second;
  const bool stillListedAtSource = mArrived.count(aShard) != 0 || mOuts.count(aShard) != 0;
  const bool platformDoubtful = mWriteFailingSince || mMustRead;
  if (stillListedAtSource || platformDoubtful) {
    return false;
  }
  if (state.phase == ShardPhase::kServing) {
    BeginMove(aNow, state, {}, aCell);
    return true;
  }
  if (state.phase != ShardPhase::kBlocked || !IsStranded(state)) {
    return false;
  }
  // Nobody is left to release it. An heir that was never seen may have used the next epoch.
  state.record.epoch += state.known ? 0 : kUnseenHeirStep - 1;
  state.toCell = aCell;
  state.phase = ShardPhase::kSending;
  mSettled = false;
  Pump(aNow);
  return true;
}

bool CellMachine::IsStranded(const ShardState& aState) const
{
  const bool gone = Resolve(aState.record.owner) == Resolution::kGone &&
                    Resolve(aState.record.heir) == Resolution::kGone;
  const bool usable = std::any_of(mServers.begin(), mServers.end(), [this](const auto& aServer) {
    return IsUsable(aServer.first);
  });
  return gone && !usable;
}

void CellMachine::BeginMove(Instant aNow,
                            ShardState& aState,
                            const std::string& aServer,
                            const std::string& aCell)
{
  mSettled = false;
  aState.phase = ShardPhase::kStopping;
  aState.moveTo = aServer;
  aState.toCell = aCell;
  Pump(aNow);
}

void CellMachine::FinishMove(ShardId aShard, ShardState& aState)
{
  if (!aState.toCell.empty()) {
    aState.phase = ShardPhase::kSending;
    return;
  }
  aState.before = aState.record;
  aState.record.heir = aState.record.owner;
  aState.record.owner = aState.moveTo;
  aState.record.epoch += 1;
  const auto it = mBase.shards.find(aShard);
  if (it != mBase.shards.end() && it->second.owner != aState.moveTo) {
    aState.record.epoch = std::max(aState.record.epoch, it->second.epoch + 1);
  }
  aState.phase = ShardPhase::kWriting;
  aState.cause = CellEvent::kShardMoved;
}

void CellMachine::AbandonMoves()
{
  for (auto& [shard, state] : mShards) {
    const bool unwrittenMove = state.phase == ShardPhase::kWriting && state.before;
    // A departure that is written, or that a write may still write, is never taken back.
    const bool maySend = mWriting || !mUnknownWrites.empty() || HasSent(shard);
    const bool unsent = state.phase == ShardPhase::kSending && !maySend;
    if (!unwrittenMove && !unsent) {
      continue;
    }
    if (state.before) {
      state.record = *state.before;
    }
    state.toCell.clear();
    Note(CellEvent::kMoveAbandoned, shard, state.record.owner, state.record.epoch);
    state.phase = ShardPhase::kBlocked;
    state.before.reset();
  }
}

// --- The platform's answers -----------------------------------------------------------------

void CellMachine::AdoptBase(Version aVersion, const CellObject& aObject)
{
  mSettled = false;
  if (aVersion != mBaseVersion) {
    mUnknownWrites.clear();
  }
  mBase = aObject;
  mBaseVersion = aVersion;
  mBaseKnown = true;
}

void CellMachine::OnObject(Instant aNow, Version aVersion, const std::optional<CellObject>& aObject)
{
  mSettled = false;
  mReading = false;
  const bool overtaken = mBaseKnown && aVersion < mBaseVersion;
  if (mWriting || overtaken) {
    return;
  }
  mMustRead = false;
  const CellObject object = aObject ? *aObject : CellObject{};
  const bool mine = aObject && object.attached == mSelf;
  if (mRole == CellRole::kAttached || mRole == CellRole::kLeaving) {
    if (!mine || object.token != mToken) {
      const bool passedOn = mLeaveTo && object.attached == *mLeaveTo;
      Note(passedOn ? CellEvent::kHandedOver : CellEvent::kSuperseded,
           0,
           object.attached.id,
           object.token);
      BecomeIdle();
    }
    AdoptBase(aVersion, object);
    Pump(aNow);
    return;
  }
  AdoptBase(aVersion, object);
  mRole = CellRole::kIdle;
  if (mine) {
    AttachAfterWrite(aNow);
  }
}

void CellMachine::OnReadFailed(Instant aNow)
{
  mSettled = false;
  mReading = false;
  mRetryAt = aNow + mTimings.retryDelay;
  if (mRole == CellRole::kTaking) {
    mMustRead = true;
  }
  WriteFailed(aNow);
}

void CellMachine::OnHint(Instant aNow, Version aVersion, const CellObject& aObject)
{
  if (mBaseKnown && aVersion <= mBaseVersion) {
    return;
  }
  if (mRole == CellRole::kIdle) {
    AdoptBase(aVersion, aObject);
    return;
  }
  if (mRole != CellRole::kTaking && aObject.token > mToken && !mWriting) {
    Note(CellEvent::kSuperseded, 0, aObject.attached.id, aObject.token);
    BecomeIdle();
    AdoptBase(aVersion, aObject);
    Pump(aNow);
  }
}

void CellMachine::StartWrite(CellObject aObject)
{
  mWriting = std::move(aObject);
  mActions.emplace_back(WriteCell{ ++mWriteId, mBaseVersion, *mWriting });
}

void CellMachine::OnWritten(Instant aNow,
                            std::uint64_t aId,
                            WriteOutcome aOutcome,
                            Version aVersion)
{
  mSettled = false;
  if (!mWriting || aId != mWriteId) {
    return;
  }
  const CellObject written = *mWriting;
  mWriting.reset();
  switch (aOutcome) {
    case WriteOutcome::kWritten:
      mWriteFailingSince.reset();
      AdoptBase(aVersion, written);
      break;
    case WriteOutcome::kConflict:
      mMustRead = true;
      mRetryAt = aNow;
      break;
    case WriteOutcome::kNotWritten:
      mRetryAt = aNow + mTimings.retryDelay;
      WriteFailed(aNow);
      break;
    case WriteOutcome::kUnknown:
      mUnknownWrites.push_back(written);
      mMustRead = true;
      mRetryAt = aNow + mTimings.retryDelay;
      WriteFailed(aNow);
      break;
  }
  if (mRole == CellRole::kTaking) {
    if (aOutcome == WriteOutcome::kWritten) {
      AttachAfterWrite(aNow);
      return;
    }
    mMustRead = true;
  }
  if (mRole == CellRole::kLeaving && aOutcome == WriteOutcome::kWritten &&
      written.attached != mSelf) {
    Note(CellEvent::kHandedOver, 0, written.attached.id, written.token);
    BecomeIdle();
  }
  Pump(aNow);
}

void CellMachine::WriteFailed(Instant aNow)
{
  if (!mWriteFailingSince) {
    mWriteFailingSince = aNow;
  }
}

void CellMachine::OnOtherHint(Instant aNow, const std::string& aCell, const CellObject& aObject)
{
  if (mRole != CellRole::kAttached) {
    return;
  }
  for (const auto& [shard, out] : aObject.outs) {
    const auto it = mShards.find(shard);
    const bool here = it != mShards.end() && it->second.record.epoch >= out.epoch;
    if (out.toCell == mCell && !here) {
      mToRead.insert(aCell);
      mSettled = false;
    }
  }
  for (auto it = mOuts.begin(); it != mOuts.end();) {
    const auto there = aObject.shards.find(it->first);
    const bool arrived = it->second.toCell == aCell && there != aObject.shards.end() &&
                         there->second.epoch >= it->second.epoch;
    mSettled = mSettled && !arrived;
    it = arrived ? mOuts.erase(it) : std::next(it);
  }
  for (const auto& [shard, from] : mArrived) {
    if (from == aCell && aObject.outs.find(shard) == aObject.outs.end()) {
      mToRead.insert(aCell);
      mSettled = false;
    }
  }
  Pump(aNow);
}

void CellMachine::OnOtherCell(Instant aNow,
                              const std::string& aCell,
                              Version aOwnVersion,
                              const CellObject& aObject)
{
  mSettled = false;
  mReadingOther.erase(aCell);
  if (mRole != CellRole::kAttached) {
    return;
  }
  // The other cell must have been read after this cell's present version.
  if (aOwnVersion != mBaseVersion || mWriting) {
    mToRead.insert(aCell);
    Pump(aNow);
    return;
  }
  ReceiveShards(aCell, aObject);
  for (auto it = mArrived.begin(); it != mArrived.end();) {
    const bool cleared = it->second == aCell && mBase.arrivals.count(it->first) != 0 &&
                         aObject.outs.find(it->first) == aObject.outs.end();
    it = cleared ? mArrived.erase(it) : std::next(it);
  }
  Pump(aNow);
}

void CellMachine::OnOtherReadFailed(const std::string& aCell)
{
  mReadingOther.erase(aCell);
}

void CellMachine::ReceiveShards(const std::string& aCell, const CellObject& aObject)
{
  for (const auto& [shard, out] : aObject.outs) {
    if (out.toCell != mCell || mShards.count(shard) != 0 || mOuts.count(shard) != 0) {
      continue;
    }
    ShardState state;
    state.record.owner = PickServer(shard, {});
    state.record.epoch = out.epoch;
    state.phase = ShardPhase::kWriting;
    state.known = true;
    state.cause = CellEvent::kShardReceived;
    if (state.record.owner.empty() && !mServers.empty()) {
      state.record.owner = mServers.begin()->first;
    }
    mShards.emplace(shard, std::move(state));
    mArrived[shard] = aCell;
  }
}

// --- The servers' answers -------------------------------------------------------------------

void CellMachine::OnFenced(Instant aNow, const std::string& aServer, const ServerReply& aReply)
{
  mSettled = false;
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || !it->second.busy || it->second.number != aReply.number) {
    return;
  }
  ServerState& server = it->second;
  server.busy = false;
  server.nextCallAt = aNow + mTimings.retryDelay;
  if (aReply.outcome == CallOutcome::kSuperseded) {
    Note(CellEvent::kSuperseded, 0, aServer, mToken);
    BecomeIdle();
    mMustRead = true;
    Pump(aNow);
    return;
  }
  if (aReply.outcome != CallOutcome::kAccepted) {
    Pump(aNow);
    return;
  }
  ForgetGrants(server);
  server.status = ServerStatus::kFenced;
  server.everFenced = true;
  server.incarnation = aReply.incarnation;
  server.reading = aReply.reading;
  server.readAt = aNow;
  server.lapseAt = aNow + LapseBound(server.spec.checked);
  server.reported = aReply.grants;
  server.nextCallAt = aNow;
  Note(CellEvent::kServerFenced, 0, aServer, mToken);
  const Incarnation recorded = mBase.servers[aServer].incarnation;
  if (recorded != 0 && recorded != aReply.incarnation) {
    Note(CellEvent::kServerRestarted, 0, aServer, aReply.incarnation);
    RaiseEpochsOfBlocked(aServer);
  }
  Pump(aNow);
}

void CellMachine::RaiseEpochsOfBlocked(const std::string& aServer)
{
  for (auto& [shard, state] : mShards) {
    const bool concerned = state.record.owner == aServer || state.record.heir == aServer;
    if (state.phase == ShardPhase::kBlocked && !state.known && concerned) {
      state.record.epoch += kUnseenHeirStep;
    }
  }
}

void CellMachine::OnGranted(Instant aNow, const std::string& aServer, const ServerReply& aReply)
{
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || !it->second.busy || it->second.number != aReply.number) {
    return;
  }
  ServerState& server = it->second;
  server.busy = false;
  // A renewal that changed nothing leaves nothing to decide.
  const bool routine =
    aReply.outcome == CallOutcome::kAccepted && server.sentAdd.empty() && server.sentRemove.empty();
  mSettled = mSettled && routine;
  switch (aReply.outcome) {
    case CallOutcome::kSuperseded:
      Note(CellEvent::kSuperseded, 0, aServer, mToken);
      BecomeIdle();
      mMustRead = true;
      break;
    case CallOutcome::kRestarted:
      // The port answers from a later run, so the earlier one and its grants are gone.
      ForgetGrants(server);
      server.status = ServerStatus::kLapsed;
      server.nextCallAt = aNow;
      Note(CellEvent::kServerRestarted, 0, aServer, aReply.incarnation);
      break;
    case CallOutcome::kNoAnswer:
      server.nextCallAt = aNow + mTimings.retryDelay;
      break;
    case CallOutcome::kAccepted:
      server.reading = aReply.reading;
      server.readAt = aNow;
      server.nextCallAt = aNow + mTimings.renewInterval;
      for (const ShardId shard : server.sentRemove) {
        server.granted.erase(shard);
        server.toRemove.erase(shard);
      }
      for (const auto& [shard, epoch] : server.sentAdd) {
        server.granted[shard] = epoch;
        const auto wanted = server.toAdd.find(shard);
        if (wanted != server.toAdd.end() && wanted->second == epoch) {
          server.toAdd.erase(wanted);
        }
      }
      server.sentAdd.clear();
      server.sentRemove.clear();
      break;
  }
  Pump(aNow);
}

void CellMachine::OnDaemonGone(Instant aNow, const DaemonRef& aDaemon)
{
  mSettled = false;
  mGone.emplace(aDaemon, aNow);
  Pump(aNow);
}

void CellMachine::OnTick(Instant aNow)
{
  Pump(aNow);
}

// --- Orders ---------------------------------------------------------------------------------

Admission CellMachine::Admit(Instant aNow, ShardId aShard) const
{
  Admission admission;
  const auto it = mShards.find(aShard);
  const bool attached = mRole == CellRole::kAttached || mRole == CellRole::kLeaving;
  if (!attached || it == mShards.end()) {
    return admission;
  }
  admission.kind = AdmissionKind::kHold;
  const ShardState& state = it->second;
  if (mRole != CellRole::kAttached || state.phase != ShardPhase::kServing) {
    return admission;
  }
  const auto found = mServers.find(state.record.owner);
  if (found == mServers.end() || !IsUsable(state.record.owner)) {
    return admission;
  }
  const ServerState& server = found->second;
  if (aNow >= server.readAt + mTimings.grantTtl) {
    return admission;
  }
  admission.kind = AdmissionKind::kServe;
  admission.server = state.record.owner;
  admission.epoch = state.record.epoch;
  admission.token = mToken;
  admission.incarnation = server.incarnation;
  admission.reading = server.reading;
  admission.readAt = server.readAt;
  return admission;
}

void CellMachine::OrderStarted(ShardId aShard)
{
  const auto it = mShards.find(aShard);
  if (it != mShards.end()) {
    ++it->second.inFlight;
  }
}

void CellMachine::OrderFinished(Instant aNow, ShardId aShard)
{
  const auto it = mShards.find(aShard);
  if (it == mShards.end() || it->second.inFlight == 0) {
    return;
  }
  --it->second.inFlight;
  const bool awaited = it->second.phase == ShardPhase::kStopping || mRole == CellRole::kLeaving;
  if (awaited && it->second.inFlight == 0) {
    Pump(aNow);
  }
}

// --- Decisions ------------------------------------------------------------------------------

void CellMachine::Pump(Instant aNow)
{
  if (mMustRead && !mReading && !mWriting && aNow >= mRetryAt) {
    mReading = true;
    mActions.emplace_back(ReadCell{});
  }
  if (mRole != CellRole::kAttached && mRole != CellRole::kLeaving) {
    return;
  }
  PumpServers(aNow);
  if (mSettled && mRole == CellRole::kAttached) {
    PumpCalls(aNow);
    return;
  }
  if (mWriteFailingSince && aNow >= *mWriteFailingSince + mTimings.writePatience) {
    AbandonMoves();
  }
  PumpShards();
  if (mRole == CellRole::kAttached) {
    PumpHeirs();
    PumpReceives();
    PumpWrites(aNow);
    mSettled = IsSettled();
  } else {
    PumpLeave(aNow);
  }
  PumpCalls(aNow);
}

bool CellMachine::IsSettled() const
{
  const bool waiting = mWriting || mMustRead || mReading || mWriteFailingSince;
  return !waiting && Unserved() == 0 && !NeedsWrite(DesiredObject());
}

void CellMachine::PumpServers(Instant aNow)
{
  for (auto& [id, server] : mServers) {
    CheckLapse(aNow, id, server);
  }
}

void CellMachine::CheckLapse(Instant aNow, const std::string& aId, ServerState& aServer)
{
  if (aServer.status == ServerStatus::kLapsed) {
    return;
  }
  std::optional<Instant> lapse;
  if (aServer.status == ServerStatus::kFenced) {
    lapse = aServer.lapseAt;
  } else {
    lapse = LapseByEvidence(aId, aServer);
  }
  if (!lapse || aNow < *lapse) {
    return;
  }
  mSettled = false;
  aServer.status = ServerStatus::kLapsed;
  ForgetGrants(aServer);
  Note(CellEvent::kServerLapsed, 0, aId, mToken);
}

Duration CellMachine::LapseBound(bool aChecked) const
{
  const Duration span = aChecked ? mTimings.grantTtl : mTimings.grantTtl + mTimings.longestOrder;
  return span + span * mTimings.driftPerMille / 1000;
}

std::optional<Instant> CellMachine::LapseByEvidence(const std::string& aId,
                                                    const ServerState& aServer) const
{
  const auto record = mBase.servers.find(aId);
  if (record == mBase.servers.end() || record->second.holders.empty()) {
    // Whoever passed the cell on in order left no order behind, but leases run on.
    const Duration wait = aServer.spec.checked ? LapseBound(true) : Duration::zero();
    return mTakenAt + wait;
  }
  Instant since = mTakenAt;
  for (const DaemonRef& it : record->second.holders) {
    const auto gone = mGone.find(it);
    if (gone == mGone.end()) {
      return std::nullopt;
    }
    since = std::max(since, gone->second);
  }
  return since + LapseBound(aServer.spec.checked);
}

void CellMachine::PumpShards()
{
  // A shard that has been sent is removed, so the walk goes by a copy of the numbers.
  std::vector<ShardId> shards;
  shards.reserve(mShards.size());
  for (const auto& [shard, state] : mShards) {
    shards.push_back(shard);
  }
  for (const ShardId shard : shards) {
    PumpShard(shard, mShards[shard]);
  }
}

void CellMachine::PumpShard(ShardId aShard, ShardState& aState)
{
  switch (aState.phase) {
    case ShardPhase::kServing:
      PumpServing(aShard, aState);
      break;
    case ShardPhase::kGranting:
      PumpGranting(aShard, aState);
      break;
    case ShardPhase::kStopping:
      PumpStopping(aShard, aState);
      break;
    case ShardPhase::kReleasing:
      if (IsReleased(aShard, aState)) {
        FinishMove(aShard, aState);
      }
      break;
    case ShardPhase::kWriting:
      PumpWriting(aShard, aState);
      break;
    case ShardPhase::kSending:
      PumpSending(aShard);
      return;
    case ShardPhase::kBlocked:
      break;
  }
  if (aState.phase == ShardPhase::kBlocked) {
    Unblock(aShard, aState);
  }
}

void CellMachine::PumpServing(ShardId aShard, ShardState& aState)
{
  if (!IsUsable(aState.record.owner)) {
    aState.phase = ShardPhase::kBlocked;
    return;
  }
  // An abandoned move turned out to have been written after all: it is carried out.
  const auto it = mBase.shards.find(aShard);
  const bool written = it != mBase.shards.end() && it->second.epoch > aState.record.epoch &&
                       it->second.owner != aState.record.owner;
  if (written && IsUsable(it->second.owner)) {
    aState.phase = ShardPhase::kStopping;
    aState.moveTo = it->second.owner;
    aState.toCell.clear();
  }
}

void CellMachine::PumpGranting(ShardId aShard, ShardState& aState)
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    aState.phase = ShardPhase::kBlocked;
    return;
  }
  const ServerState& server = mServers[owner];
  const auto it = server.granted.find(aShard);
  if (it != server.granted.end() && it->second == aState.record.epoch) {
    aState.phase = ShardPhase::kServing;
    Note(CellEvent::kShardServing, aShard, owner, aState.record.epoch);
  }
}

void CellMachine::PumpStopping(ShardId aShard, ShardState& aState)
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    if (Resolve(owner) == Resolution::kGone) {
      FinishMove(aShard, aState);
    }
    return;
  }
  if (aState.inFlight != 0) {
    return;
  }
  ServerState& server = mServers[owner];
  server.toAdd.erase(aShard);
  server.toRemove.insert(aShard);
  aState.phase = ShardPhase::kReleasing;
}

void CellMachine::PumpWriting(ShardId aShard, ShardState& aState)
{
  if (!HasWritten(aShard, aState)) {
    return;
  }
  aState.before.reset();
  aState.known = true;
  Note(aState.cause, aShard, aState.record.owner, aState.record.epoch);
  aState.phase = ShardPhase::kBlocked;
}

void CellMachine::PumpSending(ShardId aShard)
{
  if (!HasSent(aShard)) {
    return;
  }
  const OutRecord out = mBase.outs.at(aShard);
  mOuts.emplace(aShard, out);
  Note(CellEvent::kShardSent, aShard, out.toCell, out.epoch);
  mShards.erase(aShard);
}

CellMachine::Resolution CellMachine::Resolve(const std::string& aServer) const
{
  const auto it = mServers.find(aServer);
  if (aServer.empty() || it == mServers.end()) {
    return Resolution::kGone;
  }
  const ServerState& server = it->second;
  if (server.status == ServerStatus::kUnknown) {
    return Resolution::kUnresolved;
  }
  if (server.status == ServerStatus::kLapsed || !server.spec.checked) {
    return Resolution::kGone;
  }
  const auto record = mBase.servers.find(aServer);
  const bool neverRecorded = record == mBase.servers.end() || record->second.incarnation == 0;
  if (neverRecorded) {
    // No run of it has ever had a grant; it becomes usable once this run is written down.
    return Resolution::kUnresolved;
  }
  return IsUsable(aServer) ? Resolution::kReadBack : Resolution::kGone;
}

void CellMachine::Unblock(ShardId aShard, ShardState& aState)
{
  if (aState.known && IsUsable(aState.record.owner)) {
    StartGranting(aShard, aState);
    return;
  }
  const Resolution owner = Resolve(aState.record.owner);
  const Resolution heir = Resolve(aState.record.heir);
  if (owner == Resolution::kUnresolved || (!aState.known && heir == Resolution::kUnresolved)) {
    return;
  }
  const bool heirAccounted = aState.record.heir.empty() || heir == Resolution::kReadBack;
  if (owner == Resolution::kReadBack && heirAccounted) {
    AdoptReported(aState, aShard);
    StartGranting(aShard, aState);
    return;
  }
  if (InheritFromMemory(aShard, aState)) {
    return;
  }
  RecoverThroughPlatform(aShard, aState);
}

void CellMachine::AdoptReported(ShardState& aState, ShardId aShard)
{
  if (aState.record.heir.empty()) {
    return;
  }
  const ServerState& heir = mServers[aState.record.heir];
  const auto it = heir.reported.find(aShard);
  if (it != heir.reported.end() && it->second > aState.record.epoch) {
    aState.record.epoch = it->second;
    std::swap(aState.record.owner, aState.record.heir);
  }
}

bool CellMachine::InheritFromMemory(ShardId aShard, ShardState& aState)
{
  const std::string heir = RecordedHeir(aShard, aState.record);
  if (heir.empty() || Resolve(heir) != Resolution::kReadBack) {
    return false;
  }
  const ServerState& owner = mServers[aState.record.owner];
  const bool ownerWaitedOut = owner.everFenced && owner.spec.checked;
  if (!ownerWaitedOut) {
    return false;
  }
  const ServerState& server = mServers[heir];
  const auto it = server.reported.find(aShard);
  const Epoch reported = it == server.reported.end() ? 0 : it->second;
  aState.record.owner = heir;
  aState.record.heir.clear();
  aState.record.epoch = std::max(aState.record.epoch, reported) + 1;
  Note(CellEvent::kShardInherited, aShard, aState.record.owner, aState.record.epoch);
  StartGranting(aShard, aState);
  return true;
}

std::string CellMachine::RecordedHeir(ShardId aShard, const ShardRecord& aRecord) const
{
  const auto base = mBase.shards.find(aShard);
  if (base == mBase.shards.end() || base->second.owner != aRecord.owner ||
      base->second.epoch != aRecord.epoch) {
    return {};
  }
  // A later daemon reads whichever of these writes took effect, so all must name the same heir.
  const auto agrees = [&](const CellObject& aObject) {
    const auto it = aObject.shards.find(aShard);
    return it != aObject.shards.end() && it->second == base->second;
  };
  const bool pending = !mWriting || agrees(*mWriting);
  const bool unknown = std::all_of(mUnknownWrites.begin(), mUnknownWrites.end(), agrees);
  return pending && unknown ? base->second.heir : std::string();
}

void CellMachine::RecoverThroughPlatform(ShardId aShard, ShardState& aState)
{
  std::string server = aState.record.owner;
  if (!IsUsable(server)) {
    server = IsUsable(aState.record.heir) ? aState.record.heir : PickServer(aShard, {});
  }
  if (server.empty()) {
    return;
  }
  const auto it = mBase.shards.find(aShard);
  const Epoch written = it == mBase.shards.end() ? 0 : it->second.epoch;
  const Epoch step = aState.known ? 1 : kUnseenHeirStep;
  aState.record.epoch = std::max(aState.record.epoch, written) + step;
  aState.record.owner = server;
  if (aState.record.heir == server) {
    aState.record.heir.clear();
  }
  aState.before.reset();
  aState.cause = CellEvent::kShardRecovered;
  aState.phase = ShardPhase::kWriting;
}

void CellMachine::StartGranting(ShardId aShard, ShardState& aState)
{
  aState.known = true;
  aState.phase = ShardPhase::kGranting;
  ServerState& server = mServers[aState.record.owner];
  server.toRemove.erase(aShard);
  server.toAdd[aShard] = aState.record.epoch;
}

void CellMachine::ForgetGrants(ServerState& aServer)
{
  aServer.reported.clear();
  aServer.granted.clear();
  aServer.toAdd.clear();
  aServer.toRemove.clear();
  aServer.sentAdd.clear();
  aServer.sentRemove.clear();
}

bool CellMachine::IsUsable(const std::string& aServer) const
{
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || it->second.status != ServerStatus::kFenced) {
    return false;
  }
  const auto record = mBase.servers.find(aServer);
  return record != mBase.servers.end() && record->second.incarnation == it->second.incarnation;
}

bool CellMachine::IsReleased(ShardId aShard, const ShardState& aState) const
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    return Resolve(owner) == Resolution::kGone;
  }
  const ServerState& server = mServers.at(owner);
  return server.toRemove.count(aShard) == 0 && server.granted.count(aShard) == 0;
}

bool CellMachine::HasWritten(ShardId aShard, const ShardState& aState) const
{
  const auto it = mBase.shards.find(aShard);
  return it != mBase.shards.end() && it->second.owner == aState.record.owner &&
         it->second.epoch == aState.record.epoch;
}

bool CellMachine::HasSent(ShardId aShard) const
{
  return mBase.outs.count(aShard) != 0 && mBase.shards.count(aShard) == 0;
}

std::string CellMachine::PickServer(ShardId aShard, const std::string& aExcept) const
{
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto& [id, server] : mServers) {
    if (id == aExcept || !server.spec.accepting || !IsUsable(id)) {
      continue;
    }
    const std::uint64_t weight = RendezvousWeight(std::to_string(aShard), id);
    if (best.empty() || weight > bestWeight) {
      best = id;
      bestWeight = weight;
    }
  }
  return best;
}

void CellMachine::PumpHeirs()
{
  for (auto& [shard, state] : mShards) {
    const bool settled =
      state.phase == ShardPhase::kServing || (state.phase == ShardPhase::kWriting && !state.before);
    if (!settled) {
      continue;
    }
    const std::string& heir = state.record.heir;
    const auto it = mServers.find(heir);
    const bool good = it != mServers.end() && IsUsable(heir) && it->second.spec.accepting &&
                      heir != state.record.owner;
    if (good) {
      continue;
    }
    const std::string better = PickServer(shard, state.record.owner);
    if (!better.empty()) {
      state.record.heir = better;
    }
  }
}

void CellMachine::PumpReceives()
{
  for (const std::string& cell : mToRead) {
    if (mReadingOther.insert(cell).second) {
      mActions.emplace_back(ReadOtherCell{ cell, mBaseVersion });
    }
  }
  mToRead.clear();
}

CellObject CellMachine::DesiredObject() const
{
  CellObject object;
  object.attached = mSelf;
  object.token = mToken;
  object.outs = mOuts;
  object.arrivals = mArrived;
  object.servers = mBase.servers;
  for (const auto& [id, server] : mServers) {
    ServerRecord& record = object.servers[id];
    if (server.status == ServerStatus::kFenced) {
      record.incarnation = server.incarnation;
      record.holders.clear();
    }
  }
  for (const auto& [shard, state] : mShards) {
    if (state.phase == ShardPhase::kSending) {
      object.outs[shard] = OutRecord{ state.record.epoch + 1, state.toCell };
      continue;
    }
    const auto it = mBase.shards.find(shard);
    // What was written under a higher epoch is not taken back.
    const bool older = it != mBase.shards.end() && it->second.epoch > state.record.epoch;
    object.shards[shard] = older ? it->second : state.record;
  }
  return object;
}

bool CellMachine::NeedsWrite(const CellObject& aDesired) const
{
  if (aDesired.shards != mBase.shards || aDesired.outs != mBase.outs ||
      aDesired.arrivals != mBase.arrivals) {
    return true;
  }
  for (const auto& [id, record] : aDesired.servers) {
    const auto it = mBase.servers.find(id);
    if (it == mBase.servers.end() || it->second.incarnation != record.incarnation) {
      return true;
    }
  }
  return false;
}

void CellMachine::PumpWrites(Instant aNow)
{
  if (mWriting || mMustRead || mReading || aNow < mRetryAt) {
    return;
  }
  CellObject desired = DesiredObject();
  if (!NeedsWrite(desired)) {
    mWriteFailingSince.reset();
    return;
  }
  StartWrite(std::move(desired));
}

void CellMachine::PumpLeave(Instant aNow)
{
  if (mWriting || mMustRead || mReading || aNow < mRetryAt) {
    return;
  }
  for (const auto& [shard, state] : mShards) {
    if (state.inFlight != 0) {
      return;
    }
  }
  StartWrite(HandedOverObject());
}

void CellMachine::PumpCalls(Instant aNow)
{
  for (auto& [id, server] : mServers) {
    if (server.busy) {
      continue;
    }
    const bool changes = !server.toAdd.empty() || !server.toRemove.empty();
    const bool quick = changes && server.sentAdd.empty() && server.sentRemove.empty();
    if (aNow >= server.nextCallAt || quick) {
      SendCall(id, server);
    }
  }
}

void CellMachine::SendCall(const std::string& aId, ServerState& aServer)
{
  if (aServer.status != ServerStatus::kFenced) {
    // Nobody else may give orders to a server that does not check them, so proof comes first.
    if (aServer.status == ServerStatus::kUnknown && !aServer.spec.checked) {
      return;
    }
    aServer.busy = true;
    mActions.emplace_back(FenceServer{ aId, mToken, ++aServer.number });
    return;
  }
  aServer.busy = true;
  aServer.lapseAt = std::max(aServer.lapseAt, aServer.readAt + LapseBound(aServer.spec.checked));
  aServer.sentAdd = aServer.toAdd;
  aServer.sentRemove = aServer.toRemove;
  GrantServer call;
  call.server = aId;
  call.token = mToken;
  call.number = ++aServer.number;
  call.incarnation = aServer.incarnation;
  call.until = aServer.reading + mTimings.grantTtl.count();
  call.add = aServer.toAdd;
  call.remove = aServer.toRemove;
  mActions.emplace_back(std::move(call));
}

// --- Views ----------------------------------------------------------------------------------

void CellMachine::Note(CellEvent aEvent, ShardId aShard, const std::string& aServer, Epoch aEpoch)
{
  mActions.emplace_back(CellNote{ aEvent, aShard, aServer, aEpoch });
}

std::vector<CellAction> CellMachine::TakeActions()
{
  return std::exchange(mActions, {});
}

std::size_t CellMachine::Unserved() const
{
  return static_cast<std::size_t>(
    std::count_if(mShards.begin(), mShards.end(), [](const auto& aEntry) {
      return aEntry.second.phase != ShardPhase::kServing;
    }));
}

std::optional<ShardPhase> CellMachine::PhaseOf(ShardId aShard) const
{
  const auto it = mShards.find(aShard);
  if (it == mShards.end()) {
    return std::nullopt;
  }
  return it->second.phase;
}

std::optional<ShardRecord> CellMachine::OwnerOf(ShardId aShard) const
{
  const auto it = mShards.find(aShard);
  if (it == mShards.end()) {
    return std::nullopt;
  }
  return it->second.record;
}

std::string CellMachine::Describe(Instant aNow) const
{
  std::ostringstream buf;
  const auto ago = [&](Instant aAt) {
    const std::int64_t delta = (aAt - aNow).count();
    const std::int64_t horizon = LapseBound(false).count();
    return std::clamp(delta, -horizon, horizon);
  };
  buf << NameOf(kCellRoleNames, mRole) << " t" << mToken << " v" << mBaseVersion
      << (mBaseKnown ? "k" : "") << (mMustRead ? "m" : "") << (mReading ? "r" : "") << " retry"
      << std::max<std::int64_t>(ago(mRetryAt), 0) << " taken" << ago(mTakenAt) << " base"
      << EncodeCell(mBase) << " w" << (mWriting ? EncodeCell(*mWriting) : "");
  for (const CellObject& it : mUnknownWrites) {
    buf << " u" << EncodeCell(it);
  }
  if (mWriteFailingSince) {
    buf << " f" << ago(*mWriteFailingSince);
  }
  for (const auto& [id, at] : mGone) {
    buf << " g" << id.id << id.incarnation << ":" << ago(at);
  }
  for (const auto& [id, it] : mServers) {
    buf << " S" << id << static_cast<int>(it.status) << it.everFenced << it.busy << "i"
        << it.incarnation << "n" << it.number << "c"
        << std::max<std::int64_t>(ago(it.nextCallAt), 0) << "r" << ago(it.readAt) << "l"
        << ago(it.lapseAt);
    for (const auto& [shard, epoch] : it.reported) {
      buf << "R" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : it.granted) {
      buf << "G" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : it.toAdd) {
      buf << "+" << shard << "." << epoch;
    }
    for (const ShardId shard : it.toRemove) {
      buf << "-" << shard;
    }
    buf << "|" << it.sentAdd.size() << "|" << it.sentRemove.size();
  }
  for (const auto& [shard, it] : mShards) {
    buf << " #" << shard << NameOf(kShardPhaseNames, it.phase) << it.record.owner << "."
        << it.record.epoch << "." << it.record.heir << (it.known ? "k" : "") << it.inFlight
        << it.moveTo << it.toCell << (it.before ? it.before->owner : "");
  }
  for (const auto& [shard, out] : mOuts) {
    buf << " o" << shard << "." << out.epoch << out.toCell;
  }
  for (const auto& [shard, from] : mArrived) {
    buf << " a" << shard << from;
  }
  for (const std::string& it : mReadingOther) {
    buf << " ro" << it;
  }
  return buf.str();
}

} // namespace hawthornlug
