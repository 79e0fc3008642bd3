#include "ownership/cell_machine.h"

#include "core/hashing.h"

#include <algorithm>
#include <sstream>

namespace hawthornlug {

namespace {

/// Added to an epoch when the standby may have been granted the next one without this daemon's
/// knowledge: an earlier leader promotes a standby before it writes the change to the platform.
constexpr Epoch kUnseenStandbyEpochStep = 2;

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
  Advance(aNow);
}

void CellMachine::SetMaxOrderDuration(Duration aLongest)
{
  mTimings.maxOrderDuration = std::max(mTimings.maxOrderDuration, aLongest);
}

void CellMachine::SetInitialShards(std::vector<ShardId> aShards)
{
  mInitialShards = std::move(aShards);
}

// --- Attachment -----------------------------------------------------------------------------

void CellMachine::TakeOver(Instant aNow)
{
  if (mRole != CellRole::kIdle || mWriteInFlight || mReadInFlight) {
    return;
  }
  if (!mHasLastKnown) {
    mReadInFlight = true;
    mActions.emplace_back(ReadCell{});
    return;
  }
  if (mLastKnownVersion != 0 && mLastKnown.attached == mSelf) {
    BecomeAttached(aNow);
    return;
  }
  if (!MayTakeOver()) {
    return;
  }
  mRole = CellRole::kTaking;
  StartWrite(mLastKnownVersion == 0 ? InitialObject() : TakeoverObject());
}

std::vector<DaemonRef> CellMachine::DaemonsToConfirmStopped() const
{
  std::set<DaemonRef> wanted;
  if (mRole == CellRole::kIdle && mLastKnownVersion != 0 && mLastKnown.attached != mSelf) {
    wanted.insert(mLastKnown.attached);
  }
  for (const auto& [id, record] : mLastKnown.servers) {
    wanted.insert(record.earlierLeaders.begin(), record.earlierLeaders.end());
  }
  std::erase_if(wanted, [this](const DaemonRef& aRef) { return mStoppedDaemons.count(aRef) != 0; });
  return { wanted.begin(), wanted.end() };
}

bool CellMachine::MayTakeOver() const
{
  const bool unchecked = std::any_of(mServers.begin(), mServers.end(), [](const auto& aServer) {
    return !aServer.second.spec.checked;
  });
  // A server that does not check tokens accepts orders from any daemon, so the earlier leaders must
  // be confirmed stopped first.
  return !unchecked || mLastKnownVersion == 0 || DaemonsToConfirmStopped().empty();
}

void CellMachine::HandOver(Instant aNow, const DaemonRef& aTo)
{
  mSettled = false;
  if (mRole != CellRole::kAttached || aTo == mSelf) {
    return;
  }
  mRole = CellRole::kLeaving;
  mHandoverTo = aTo;
  Advance(aNow);
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
    record.standby = names.size() > 1 ? names[(n + 1) % names.size()] : std::string();
    record.epoch = 1;
    object.shards.emplace(shard, std::move(record));
    ++n;
  }
  return object;
}

CellObject CellMachine::TakeoverObject() const
{
  CellObject object = mLastKnown;
  for (auto& [id, record] : object.servers) {
    const bool listed =
      std::find(record.earlierLeaders.begin(), record.earlierLeaders.end(), mLastKnown.attached) !=
      record.earlierLeaders.end();
    if (!listed) {
      record.earlierLeaders.push_back(mLastKnown.attached);
    }
  }
  object.attached = mSelf;
  object.token = mLastKnown.token + 1;
  return object;
}

CellObject CellMachine::HandoverObject() const
{
  CellObject object = DesiredObject();
  object.attached = *mHandoverTo;
  object.token = mToken + 1;
  return object;
}

void CellMachine::BecomeAttached(Instant aNow)
{
  mSettled = false;
  mRole = CellRole::kAttached;
  mToken = mLastKnown.token;
  mAttachedAt = aNow;
  mPlatformRetryAt = aNow;
  mMustRead = false;
  mDepartures = mLastKnown.departures;
  mArrivals = mLastKnown.arrivals;
  mShards.clear();
  for (const auto& [shard, record] : mLastKnown.shards) {
    mShards[shard].record = record;
  }
  for (auto& [id, server] : mServers) {
    const CellServerSpec spec = server.spec;
    // Call numbers continue, so that a late reply to a call of an earlier attachment does not match
    // a call of this one.
    const CallNumber callNumber = server.callNumber;
    server = ServerState{};
    server.spec = spec;
    server.callNumber = callNumber;
    server.nextCallAt = aNow;
  }
  AddUnconfiguredServers();
  ReportEvent(CellEvent::kTaken, 0, mSelf.id, mToken);
  Advance(aNow);
}

void CellMachine::AddUnconfiguredServers()
{
  for (const auto& [id, record] : mLastKnown.servers) {
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
  mDepartures.clear();
  mIncoming.clear();
  mArrivals.clear();
  mCellsToRead.clear();
  mCellReadsInFlight.clear();
  mWriteInFlight.reset();
  mUnconfirmedWrites.clear();
  mPlatformFailingSince.reset();
  mHandoverTo.reset();
  mMustRead = false;
  for (auto& [id, server] : mServers) {
    ClearGrants(server);
    server.callInFlight = false;
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
  const bool platformUncertain = mPlatformFailingSince || mMustRead;
  if (!IsUsable(aServer) || platformUncertain) {
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
  const bool stillListedAtSource = mArrivals.count(aShard) != 0 || mDepartures.count(aShard) != 0;
  const bool platformUncertain = mPlatformFailingSince || mMustRead;
  if (stillListedAtSource || platformUncertain) {
    return false;
  }
  if (state.phase == ShardPhase::kServing) {
    BeginMove(aNow, state, {}, aCell);
    return true;
  }
  if (state.phase != ShardPhase::kBlocked || !IsOrphaned(state)) {
    return false;
  }
  // No server is left that could release the shard. A standby whose grants were never read may have
  // used the next epoch.
  state.record.epoch += state.ownerKnown ? 0 : kUnseenStandbyEpochStep - 1;
  state.moveToCell = aCell;
  state.phase = ShardPhase::kSending;
  mSettled = false;
  Advance(aNow);
  return true;
}

bool CellMachine::IsOrphaned(const ShardState& aState) const
{
  const bool noGrants = GrantKnowledgeOf(aState.record.owner) == GrantKnowledge::kNone &&
                        GrantKnowledgeOf(aState.record.standby) == GrantKnowledge::kNone;
  const bool usable = std::any_of(mServers.begin(), mServers.end(), [this](const auto& aServer) {
    return IsUsable(aServer.first);
  });
  return noGrants && !usable;
}

void CellMachine::BeginMove(Instant aNow,
                            ShardState& aState,
                            const std::string& aServer,
                            const std::string& aCell)
{
  mSettled = false;
  aState.phase = ShardPhase::kStopping;
  aState.moveToServer = aServer;
  aState.moveToCell = aCell;
  Advance(aNow);
}

void CellMachine::FinishMove(ShardId aShard, ShardState& aState)
{
  if (!aState.moveToCell.empty()) {
    aState.phase = ShardPhase::kSending;
    return;
  }
  aState.recordBeforeMove = aState.record;
  aState.record.standby = aState.record.owner;
  aState.record.owner = aState.moveToServer;
  aState.record.epoch += 1;
  const auto it = mLastKnown.shards.find(aShard);
  if (it != mLastKnown.shards.end() && it->second.owner != aState.moveToServer) {
    aState.record.epoch = std::max(aState.record.epoch, it->second.epoch + 1);
  }
  aState.phase = ShardPhase::kWriting;
  aState.eventWhenWritten = CellEvent::kShardMoved;
}

void CellMachine::AbandonMoves()
{
  for (auto& [shard, state] : mShards) {
    const bool unwrittenMove = state.phase == ShardPhase::kWriting && state.recordBeforeMove;
    // A departure that is written, or that a write in flight or of unknown outcome may contain, is
    // never cancelled: the other cell may receive the shard.
    const bool sendMayTakeEffect =
      mWriteInFlight || !mUnconfirmedWrites.empty() || IsDepartureWritten(shard);
    const bool cancellableSend = state.phase == ShardPhase::kSending && !sendMayTakeEffect;
    if (!unwrittenMove && !cancellableSend) {
      continue;
    }
    if (state.recordBeforeMove) {
      state.record = *state.recordBeforeMove;
    }
    state.moveToCell.clear();
    ReportEvent(CellEvent::kMoveAbandoned, shard, state.record.owner, state.record.epoch);
    state.phase = ShardPhase::kBlocked;
    state.recordBeforeMove.reset();
  }
}

// --- Results from the platform --------------------------------------------------------------

void CellMachine::SetLastKnown(Version aVersion, const CellObject& aObject)
{
  mSettled = false;
  if (aVersion != mLastKnownVersion) {
    mUnconfirmedWrites.clear();
  }
  mLastKnown = aObject;
  mLastKnownVersion = aVersion;
  mHasLastKnown = true;
}

void CellMachine::OnObject(Instant aNow, Version aVersion, const std::optional<CellObject>& aObject)
{
  mSettled = false;
  mReadInFlight = false;
  const bool outdated = mHasLastKnown && aVersion < mLastKnownVersion;
  if (mWriteInFlight || outdated) {
    return;
  }
  mMustRead = false;
  const CellObject object = aObject ? *aObject : CellObject{};
  const bool attachedHere = aObject && object.attached == mSelf;
  if (mRole == CellRole::kAttached || mRole == CellRole::kLeaving) {
    if (!attachedHere || object.token != mToken) {
      const bool handedOver = mHandoverTo && object.attached == *mHandoverTo;
      ReportEvent(handedOver ? CellEvent::kHandedOver : CellEvent::kSuperseded,
                  0,
                  object.attached.id,
                  object.token);
      BecomeIdle();
    }
    SetLastKnown(aVersion, object);
    Advance(aNow);
    return;
  }
  SetLastKnown(aVersion, object);
  mRole = CellRole::kIdle;
  if (attachedHere) {
    BecomeAttached(aNow);
  }
}

void CellMachine::OnCellReadFailed(Instant aNow)
{
  mSettled = false;
  mReadInFlight = false;
  mPlatformRetryAt = aNow + mTimings.retryDelay;
  if (mRole == CellRole::kTaking) {
    mMustRead = true;
  }
  MarkPlatformFailing(aNow);
}

void CellMachine::OnCachedObject(Instant aNow, Version aVersion, const CellObject& aObject)
{
  if (mHasLastKnown && aVersion <= mLastKnownVersion) {
    return;
  }
  if (mRole == CellRole::kIdle) {
    SetLastKnown(aVersion, aObject);
    return;
  }
  if (mRole != CellRole::kTaking && aObject.token > mToken && !mWriteInFlight) {
    ReportEvent(CellEvent::kSuperseded, 0, aObject.attached.id, aObject.token);
    BecomeIdle();
    SetLastKnown(aVersion, aObject);
    Advance(aNow);
  }
}

void CellMachine::StartWrite(CellObject aObject)
{
  mWriteInFlight = std::move(aObject);
  mActions.emplace_back(WriteCell{ ++mWriteId, mLastKnownVersion, *mWriteInFlight });
}

void CellMachine::OnWritten(Instant aNow,
                            std::uint64_t aId,
                            WriteOutcome aOutcome,
                            Version aVersion)
{
  mSettled = false;
  if (!mWriteInFlight || aId != mWriteId) {
    return;
  }
  const CellObject written = *mWriteInFlight;
  mWriteInFlight.reset();
  switch (aOutcome) {
    case WriteOutcome::kWritten:
      mPlatformFailingSince.reset();
      SetLastKnown(aVersion, written);
      break;
    case WriteOutcome::kConflict:
      mMustRead = true;
      mPlatformRetryAt = aNow;
      break;
    case WriteOutcome::kNotWritten:
      mPlatformRetryAt = aNow + mTimings.retryDelay;
      MarkPlatformFailing(aNow);
      break;
    case WriteOutcome::kUnknown:
      mUnconfirmedWrites.push_back(written);
      mMustRead = true;
      mPlatformRetryAt = aNow + mTimings.retryDelay;
      MarkPlatformFailing(aNow);
      break;
  }
  if (mRole == CellRole::kTaking) {
    if (aOutcome == WriteOutcome::kWritten) {
      BecomeAttached(aNow);
      return;
    }
    mMustRead = true;
  }
  if (mRole == CellRole::kLeaving && aOutcome == WriteOutcome::kWritten &&
      written.attached != mSelf) {
    ReportEvent(CellEvent::kHandedOver, 0, written.attached.id, written.token);
    BecomeIdle();
  }
  Advance(aNow);
}

void CellMachine::MarkPlatformFailing(Instant aNow)
{
  if (!mPlatformFailingSince) {
    mPlatformFailingSince = aNow;
  }
}

void CellMachine::OnOtherCachedObject(Instant aNow,
                                      const std::string& aCell,
                                      const CellObject& aObject)
{
  if (mRole != CellRole::kAttached) {
    return;
  }
  for (const auto& [shard, departure] : aObject.departures) {
    const auto it = mShards.find(shard);
    const bool alreadyHere = it != mShards.end() && it->second.record.epoch >= departure.epoch;
    if (departure.toCell == mCell && !alreadyHere) {
      mCellsToRead.insert(aCell);
      mSettled = false;
    }
  }
  for (auto it = mDepartures.begin(); it != mDepartures.end();) {
    const auto destination = aObject.shards.find(it->first);
    const bool arrived = it->second.toCell == aCell && destination != aObject.shards.end() &&
                         destination->second.epoch >= it->second.epoch;
    mSettled = mSettled && !arrived;
    it = arrived ? mDepartures.erase(it) : std::next(it);
  }
  for (const auto& [shard, from] : mArrivals) {
    if (from == aCell && aObject.departures.find(shard) == aObject.departures.end()) {
      mCellsToRead.insert(aCell);
      mSettled = false;
    }
  }
  Advance(aNow);
}

void CellMachine::OnOtherCellRead(Instant aNow,
                                  const std::string& aCell,
                                  Version aOwnVersion,
                                  const CellObject& aObject)
{
  mSettled = false;
  mCellReadsInFlight.erase(aCell);
  if (mRole != CellRole::kAttached) {
    return;
  }
  // The other cell's object must have been read after the present version of this cell's object was
  // written; otherwise it may still list a shard that this cell has received and sent on since.
  if (aOwnVersion != mLastKnownVersion || mWriteInFlight) {
    mCellsToRead.insert(aCell);
    Advance(aNow);
    return;
  }
  ReceiveShards(aCell, aObject);
  for (auto it = mArrivals.begin(); it != mArrivals.end();) {
    const bool cleared = it->second == aCell && mLastKnown.arrivals.count(it->first) != 0 &&
                         aObject.departures.find(it->first) == aObject.departures.end();
    it = cleared ? mArrivals.erase(it) : std::next(it);
  }
  Advance(aNow);
}

void CellMachine::OnOtherCellReadFailed(const std::string& aCell)
{
  mCellReadsInFlight.erase(aCell);
}

void CellMachine::ReceiveShards(const std::string& aCell, const CellObject& aObject)
{
  for (const auto& [shard, departure] : aObject.departures) {
    if (departure.toCell != mCell || mShards.count(shard) != 0 || mDepartures.count(shard) != 0) {
      continue;
    }
    ShardState state;
    state.record.owner = PickServer(shard, {});
    state.record.epoch = departure.epoch;
    state.phase = ShardPhase::kWriting;
    state.ownerKnown = true;
    state.eventWhenWritten = CellEvent::kShardReceived;
    if (state.record.owner.empty() && !mServers.empty()) {
      state.record.owner = mServers.begin()->first;
    }
    mShards.emplace(shard, std::move(state));
    mArrivals[shard] = aCell;
  }
}

// --- Replies of the servers -----------------------------------------------------------------

void CellMachine::OnFenced(Instant aNow, const std::string& aServer, const ServerReply& aReply)
{
  mSettled = false;
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || !it->second.callInFlight || it->second.callNumber != aReply.number) {
    return;
  }
  ServerState& server = it->second;
  server.callInFlight = false;
  server.nextCallAt = aNow + mTimings.retryDelay;
  if (aReply.outcome == CallOutcome::kSuperseded) {
    ReportEvent(CellEvent::kSuperseded, 0, aServer, mToken);
    BecomeIdle();
    mMustRead = true;
    Advance(aNow);
    return;
  }
  if (aReply.outcome != CallOutcome::kAccepted) {
    Advance(aNow);
    return;
  }
  ClearGrants(server);
  server.status = ServerStatus::kFenced;
  server.everFenced = true;
  server.incarnation = aReply.incarnation;
  server.clockReading = aReply.reading;
  server.clockReadAt = aNow;
  server.grantsExpireAt = aNow + MaxGrantLifetime(server.spec.checked);
  server.reportedEpochs = aReply.grants;
  server.nextCallAt = aNow;
  ReportEvent(CellEvent::kServerFenced, 0, aServer, mToken);
  const Incarnation recorded = mLastKnown.servers[aServer].incarnation;
  if (recorded != 0 && recorded != aReply.incarnation) {
    ReportEvent(CellEvent::kServerRestarted, 0, aServer, aReply.incarnation);
    RaiseEpochsOfBlocked(aServer);
  }
  Advance(aNow);
}

void CellMachine::RaiseEpochsOfBlocked(const std::string& aServer)
{
  for (auto& [shard, state] : mShards) {
    const bool affected = state.record.owner == aServer || state.record.standby == aServer;
    if (state.phase == ShardPhase::kBlocked && !state.ownerKnown && affected) {
      state.record.epoch += kUnseenStandbyEpochStep;
    }
  }
}

void CellMachine::OnGranted(Instant aNow, const std::string& aServer, const ServerReply& aReply)
{
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || !it->second.callInFlight || it->second.callNumber != aReply.number) {
    return;
  }
  ServerState& server = it->second;
  server.callInFlight = false;
  // A renewal without changes of grants needs no new decision.
  const bool unchanged = aReply.outcome == CallOutcome::kAccepted && server.unackedAdd.empty() &&
                         server.unackedRemove.empty();
  mSettled = mSettled && unchanged;
  switch (aReply.outcome) {
    case CallOutcome::kSuperseded:
      ReportEvent(CellEvent::kSuperseded, 0, aServer, mToken);
      BecomeIdle();
      mMustRead = true;
      break;
    case CallOutcome::kRestarted:
      // A later incarnation answers at the server's address, so the earlier one has stopped and its
      // grants have ended with it.
      ClearGrants(server);
      server.status = ServerStatus::kGrantsExpired;
      server.nextCallAt = aNow;
      ReportEvent(CellEvent::kServerRestarted, 0, aServer, aReply.incarnation);
      break;
    case CallOutcome::kNoAnswer:
      server.nextCallAt = aNow + mTimings.retryDelay;
      break;
    case CallOutcome::kAccepted:
      server.clockReading = aReply.reading;
      server.clockReadAt = aNow;
      server.nextCallAt = aNow + mTimings.renewInterval;
      for (const ShardId shard : server.unackedRemove) {
        server.grantedEpochs.erase(shard);
        server.pendingRemove.erase(shard);
      }
      for (const auto& [shard, epoch] : server.unackedAdd) {
        server.grantedEpochs[shard] = epoch;
        const auto wanted = server.pendingAdd.find(shard);
        if (wanted != server.pendingAdd.end() && wanted->second == epoch) {
          server.pendingAdd.erase(wanted);
        }
      }
      server.unackedAdd.clear();
      server.unackedRemove.clear();
      break;
  }
  Advance(aNow);
}

void CellMachine::OnDaemonStopped(Instant aNow, const DaemonRef& aDaemon)
{
  mSettled = false;
  mStoppedDaemons.emplace(aDaemon, aNow);
  Advance(aNow);
}

void CellMachine::OnTick(Instant aNow)
{
  Advance(aNow);
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
  if (aNow >= server.clockReadAt + mTimings.grantTtl) {
    return admission;
  }
  admission.kind = AdmissionKind::kServe;
  admission.server = state.record.owner;
  admission.epoch = state.record.epoch;
  admission.token = mToken;
  admission.incarnation = server.incarnation;
  admission.reading = server.clockReading;
  admission.clockReadAt = server.clockReadAt;
  return admission;
}

void CellMachine::OrderStarted(ShardId aShard)
{
  const auto it = mShards.find(aShard);
  if (it != mShards.end()) {
    ++it->second.ordersInFlight;
  }
}

void CellMachine::OrderFinished(Instant aNow, ShardId aShard)
{
  const auto it = mShards.find(aShard);
  if (it == mShards.end() || it->second.ordersInFlight == 0) {
    return;
  }
  --it->second.ordersInFlight;
  const bool finishAwaited =
    it->second.phase == ShardPhase::kStopping || mRole == CellRole::kLeaving;
  if (finishAwaited && it->second.ordersInFlight == 0) {
    Advance(aNow);
  }
}

// --- Decisions ------------------------------------------------------------------------------

void CellMachine::Advance(Instant aNow)
{
  if (mMustRead && !mReadInFlight && !mWriteInFlight && aNow >= mPlatformRetryAt) {
    mReadInFlight = true;
    mActions.emplace_back(ReadCell{});
  }
  if (mRole != CellRole::kAttached && mRole != CellRole::kLeaving) {
    return;
  }
  CheckGrantExpiries(aNow);
  if (mSettled && mRole == CellRole::kAttached) {
    SendDueCalls(aNow);
    return;
  }
  if (mPlatformFailingSince && aNow >= *mPlatformFailingSince + mTimings.moveWriteTimeout) {
    AbandonMoves();
  }
  AdvanceShards();
  if (mRole == CellRole::kAttached) {
    ChooseStandbys();
    ReadOtherCells();
    WriteIfNeeded(aNow);
    mSettled = IsSettled();
  } else {
    AdvanceHandover(aNow);
  }
  SendDueCalls(aNow);
}

bool CellMachine::IsSettled() const
{
  const bool waiting = mWriteInFlight || mMustRead || mReadInFlight || mPlatformFailingSince;
  return !waiting && UnservedCount() == 0 && !NeedsWrite(DesiredObject());
}

void CellMachine::CheckGrantExpiries(Instant aNow)
{
  for (auto& [id, server] : mServers) {
    CheckGrantExpiry(aNow, id, server);
  }
}

void CellMachine::CheckGrantExpiry(Instant aNow, const std::string& aId, ServerState& aServer)
{
  if (aServer.status == ServerStatus::kGrantsExpired) {
    return;
  }
  std::optional<Instant> expiry;
  if (aServer.status == ServerStatus::kFenced) {
    expiry = aServer.grantsExpireAt;
  } else {
    expiry = EarlierGrantsExpireAt(aId, aServer);
  }
  if (!expiry || aNow < *expiry) {
    return;
  }
  mSettled = false;
  aServer.status = ServerStatus::kGrantsExpired;
  ClearGrants(aServer);
  ReportEvent(CellEvent::kServerLapsed, 0, aId, mToken);
}

Duration CellMachine::MaxGrantLifetime(bool aChecked) const
{
  const Duration lifetime =
    aChecked ? mTimings.grantTtl : mTimings.grantTtl + mTimings.maxOrderDuration;
  return lifetime + lifetime * mTimings.clockDriftPerMille / 1000;
}

std::optional<Instant> CellMachine::EarlierGrantsExpireAt(const std::string& aId,
                                                          const ServerState& aServer) const
{
  const auto record = mLastKnown.servers.find(aId);
  if (record == mLastKnown.servers.end() || record->second.earlierLeaders.empty()) {
    // A daemon that hands the cell over waits for its orders to finish, but the leases that it
    // granted keep running.
    const Duration wait = aServer.spec.checked ? MaxGrantLifetime(true) : Duration::zero();
    return mAttachedAt + wait;
  }
  Instant since = mAttachedAt;
  for (const DaemonRef& it : record->second.earlierLeaders) {
    const auto stopped = mStoppedDaemons.find(it);
    if (stopped == mStoppedDaemons.end()) {
      return std::nullopt;
    }
    since = std::max(since, stopped->second);
  }
  return since + MaxGrantLifetime(aServer.spec.checked);
}

void CellMachine::AdvanceShards()
{
  // AdvanceSending() erases from mShards, so this iterates over a copy of the shard numbers.
  std::vector<ShardId> shards;
  shards.reserve(mShards.size());
  for (const auto& [shard, state] : mShards) {
    shards.push_back(shard);
  }
  for (const ShardId shard : shards) {
    AdvanceShard(shard, mShards[shard]);
  }
}

void CellMachine::AdvanceShard(ShardId aShard, ShardState& aState)
{
  switch (aState.phase) {
    case ShardPhase::kServing:
      AdvanceServing(aShard, aState);
      break;
    case ShardPhase::kGranting:
      AdvanceGranting(aShard, aState);
      break;
    case ShardPhase::kStopping:
      AdvanceStopping(aShard, aState);
      break;
    case ShardPhase::kReleasing:
      if (IsReleased(aShard, aState)) {
        FinishMove(aShard, aState);
      }
      break;
    case ShardPhase::kWriting:
      AdvanceWriting(aShard, aState);
      break;
    case ShardPhase::kSending:
      AdvanceSending(aShard);
      return;
    case ShardPhase::kBlocked:
      break;
  }
  if (aState.phase == ShardPhase::kBlocked) {
    EstablishOwner(aShard, aState);
  }
}

void CellMachine::AdvanceServing(ShardId aShard, ShardState& aState)
{
  if (!IsUsable(aState.record.owner)) {
    aState.phase = ShardPhase::kBlocked;
    return;
  }
  // A move was abandoned because its write seemed to have failed, but the write took effect: make
  // the move now.
  const auto it = mLastKnown.shards.find(aShard);
  const bool written = it != mLastKnown.shards.end() && it->second.epoch > aState.record.epoch &&
                       it->second.owner != aState.record.owner;
  if (written && IsUsable(it->second.owner)) {
    aState.phase = ShardPhase::kStopping;
    aState.moveToServer = it->second.owner;
    aState.moveToCell.clear();
  }
}

void CellMachine::AdvanceGranting(ShardId aShard, ShardState& aState)
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    aState.phase = ShardPhase::kBlocked;
    return;
  }
  const ServerState& server = mServers[owner];
  const auto it = server.grantedEpochs.find(aShard);
  if (it != server.grantedEpochs.end() && it->second == aState.record.epoch) {
    aState.phase = ShardPhase::kServing;
    ReportEvent(CellEvent::kShardServing, aShard, owner, aState.record.epoch);
  }
}

void CellMachine::AdvanceStopping(ShardId aShard, ShardState& aState)
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    if (GrantKnowledgeOf(owner) == GrantKnowledge::kNone) {
      FinishMove(aShard, aState);
    }
    return;
  }
  if (aState.ordersInFlight != 0) {
    return;
  }
  ServerState& server = mServers[owner];
  server.pendingAdd.erase(aShard);
  server.pendingRemove.insert(aShard);
  aState.phase = ShardPhase::kReleasing;
}

void CellMachine::AdvanceWriting(ShardId aShard, ShardState& aState)
{
  if (!IsOwnerWritten(aShard, aState)) {
    return;
  }
  aState.recordBeforeMove.reset();
  aState.ownerKnown = true;
  ReportEvent(aState.eventWhenWritten, aShard, aState.record.owner, aState.record.epoch);
  aState.phase = ShardPhase::kBlocked;
}

void CellMachine::AdvanceSending(ShardId aShard)
{
  if (!IsDepartureWritten(aShard)) {
    return;
  }
  const DepartureRecord departure = mLastKnown.departures.at(aShard);
  mDepartures.emplace(aShard, departure);
  ReportEvent(CellEvent::kShardSent, aShard, departure.toCell, departure.epoch);
  mShards.erase(aShard);
}

CellMachine::GrantKnowledge CellMachine::GrantKnowledgeOf(const std::string& aServer) const
{
  const auto it = mServers.find(aServer);
  if (aServer.empty() || it == mServers.end()) {
    return GrantKnowledge::kNone;
  }
  const ServerState& server = it->second;
  if (server.status == ServerStatus::kUnknown) {
    return GrantKnowledge::kUncertain;
  }
  if (server.status == ServerStatus::kGrantsExpired || !server.spec.checked) {
    return GrantKnowledge::kNone;
  }
  const auto record = mLastKnown.servers.find(aServer);
  const bool neverRecorded = record == mLastKnown.servers.end() || record->second.incarnation == 0;
  if (neverRecorded) {
    // No incarnation of the server has ever had a grant; it becomes usable when its present
    // incarnation is recorded at the platform.
    return GrantKnowledge::kUncertain;
  }
  return IsUsable(aServer) ? GrantKnowledge::kReported : GrantKnowledge::kNone;
}

void CellMachine::EstablishOwner(ShardId aShard, ShardState& aState)
{
  if (aState.ownerKnown && IsUsable(aState.record.owner)) {
    StartGranting(aShard, aState);
    return;
  }
  const GrantKnowledge owner = GrantKnowledgeOf(aState.record.owner);
  const GrantKnowledge standby = GrantKnowledgeOf(aState.record.standby);
  if (owner == GrantKnowledge::kUncertain ||
      (!aState.ownerKnown && standby == GrantKnowledge::kUncertain)) {
    return;
  }
  const bool standbyAccountedFor =
    aState.record.standby.empty() || standby == GrantKnowledge::kReported;
  if (owner == GrantKnowledge::kReported && standbyAccountedFor) {
    AdoptReportedOwner(aState, aShard);
    StartGranting(aShard, aState);
    return;
  }
  if (PromoteStandby(aShard, aState)) {
    return;
  }
  RecoverThroughPlatform(aShard, aState);
}

void CellMachine::AdoptReportedOwner(ShardState& aState, ShardId aShard)
{
  if (aState.record.standby.empty()) {
    return;
  }
  const ServerState& standby = mServers[aState.record.standby];
  const auto it = standby.reportedEpochs.find(aShard);
  if (it != standby.reportedEpochs.end() && it->second > aState.record.epoch) {
    aState.record.epoch = it->second;
    std::swap(aState.record.owner, aState.record.standby);
  }
}

bool CellMachine::PromoteStandby(ShardId aShard, ShardState& aState)
{
  const std::string standby = RecordedStandby(aShard, aState.record);
  if (standby.empty() || GrantKnowledgeOf(standby) != GrantKnowledge::kReported) {
    return false;
  }
  // Only a leader that has itself fenced the owner and waited until the owner's grants expired may
  // skip the write.
  const ServerState& owner = mServers[aState.record.owner];
  const bool ownerWasFenced = owner.everFenced && owner.spec.checked;
  if (!ownerWasFenced) {
    return false;
  }
  const ServerState& server = mServers[standby];
  const auto it = server.reportedEpochs.find(aShard);
  const Epoch reported = it == server.reportedEpochs.end() ? 0 : it->second;
  aState.record.owner = standby;
  aState.record.standby.clear();
  aState.record.epoch = std::max(aState.record.epoch, reported) + 1;
  ReportEvent(CellEvent::kShardInherited, aShard, aState.record.owner, aState.record.epoch);
  StartGranting(aShard, aState);
  return true;
}

std::string CellMachine::RecordedStandby(ShardId aShard, const ShardRecord& aRecord) const
{
  const auto known = mLastKnown.shards.find(aShard);
  if (known == mLastKnown.shards.end() || known->second.owner != aRecord.owner ||
      known->second.epoch != aRecord.epoch) {
    return {};
  }
  // A later leader reads the object of whichever of these writes took effect, so all of them must
  // name the same standby.
  const auto agrees = [&](const CellObject& aObject) {
    const auto it = aObject.shards.find(aShard);
    return it != aObject.shards.end() && it->second == known->second;
  };
  const bool inFlightAgrees = !mWriteInFlight || agrees(*mWriteInFlight);
  const bool unconfirmedAgree =
    std::all_of(mUnconfirmedWrites.begin(), mUnconfirmedWrites.end(), agrees);
  return inFlightAgrees && unconfirmedAgree ? known->second.standby : std::string();
}

void CellMachine::RecoverThroughPlatform(ShardId aShard, ShardState& aState)
{
  std::string server = aState.record.owner;
  if (!IsUsable(server)) {
    server = IsUsable(aState.record.standby) ? aState.record.standby : PickServer(aShard, {});
  }
  if (server.empty()) {
    return;
  }
  const auto it = mLastKnown.shards.find(aShard);
  const Epoch written = it == mLastKnown.shards.end() ? 0 : it->second.epoch;
  const Epoch epochStep = aState.ownerKnown ? 1 : kUnseenStandbyEpochStep;
  aState.record.epoch = std::max(aState.record.epoch, written) + epochStep;
  aState.record.owner = server;
  if (aState.record.standby == server) {
    aState.record.standby.clear();
  }
  aState.recordBeforeMove.reset();
  aState.eventWhenWritten = CellEvent::kShardRecovered;
  aState.phase = ShardPhase::kWriting;
}

void CellMachine::StartGranting(ShardId aShard, ShardState& aState)
{
  aState.ownerKnown = true;
  aState.phase = ShardPhase::kGranting;
  ServerState& server = mServers[aState.record.owner];
  server.pendingRemove.erase(aShard);
  server.pendingAdd[aShard] = aState.record.epoch;
}

void CellMachine::ClearGrants(ServerState& aServer)
{
  aServer.reportedEpochs.clear();
  aServer.grantedEpochs.clear();
  aServer.pendingAdd.clear();
  aServer.pendingRemove.clear();
  aServer.unackedAdd.clear();
  aServer.unackedRemove.clear();
}

bool CellMachine::IsUsable(const std::string& aServer) const
{
  const auto it = mServers.find(aServer);
  if (it == mServers.end() || it->second.status != ServerStatus::kFenced) {
    return false;
  }
  const auto record = mLastKnown.servers.find(aServer);
  return record != mLastKnown.servers.end() && record->second.incarnation == it->second.incarnation;
}

bool CellMachine::IsReleased(ShardId aShard, const ShardState& aState) const
{
  const std::string& owner = aState.record.owner;
  if (!IsUsable(owner)) {
    return GrantKnowledgeOf(owner) == GrantKnowledge::kNone;
  }
  const ServerState& server = mServers.at(owner);
  return server.pendingRemove.count(aShard) == 0 && server.grantedEpochs.count(aShard) == 0;
}

bool CellMachine::IsOwnerWritten(ShardId aShard, const ShardState& aState) const
{
  const auto it = mLastKnown.shards.find(aShard);
  return it != mLastKnown.shards.end() && it->second.owner == aState.record.owner &&
         it->second.epoch == aState.record.epoch;
}

bool CellMachine::IsDepartureWritten(ShardId aShard) const
{
  return mLastKnown.departures.count(aShard) != 0 && mLastKnown.shards.count(aShard) == 0;
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

void CellMachine::ChooseStandbys()
{
  for (auto& [shard, state] : mShards) {
    const bool mayChoose = state.phase == ShardPhase::kServing ||
                           (state.phase == ShardPhase::kWriting && !state.recordBeforeMove);
    if (!mayChoose) {
      continue;
    }
    const std::string& standby = state.record.standby;
    const auto it = mServers.find(standby);
    const bool suitable = it != mServers.end() && IsUsable(standby) && it->second.spec.accepting &&
                          standby != state.record.owner;
    if (suitable) {
      continue;
    }
    const std::string replacement = PickServer(shard, state.record.owner);
    if (!replacement.empty()) {
      state.record.standby = replacement;
    }
  }
}

void CellMachine::ReadOtherCells()
{
  for (const std::string& cell : mCellsToRead) {
    if (mCellReadsInFlight.insert(cell).second) {
      mActions.emplace_back(ReadOtherCell{ cell, mLastKnownVersion });
    }
  }
  mCellsToRead.clear();
}

CellObject CellMachine::DesiredObject() const
{
  CellObject object;
  object.attached = mSelf;
  object.token = mToken;
  object.departures = mDepartures;
  object.arrivals = mArrivals;
  object.servers = mLastKnown.servers;
  for (const auto& [id, server] : mServers) {
    ServerRecord& record = object.servers[id];
    if (server.status == ServerStatus::kFenced) {
      record.incarnation = server.incarnation;
      record.earlierLeaders.clear();
    }
  }
  for (const auto& [shard, state] : mShards) {
    if (state.phase == ShardPhase::kSending) {
      object.departures[shard] = DepartureRecord{ state.record.epoch + 1, state.moveToCell };
      continue;
    }
    const auto it = mLastKnown.shards.find(shard);
    // A record that was written under a higher epoch is never replaced by an older one.
    const bool writtenIsNewer =
      it != mLastKnown.shards.end() && it->second.epoch > state.record.epoch;
    object.shards[shard] = writtenIsNewer ? it->second : state.record;
  }
  return object;
}

bool CellMachine::NeedsWrite(const CellObject& aDesired) const
{
  if (aDesired.shards != mLastKnown.shards || aDesired.departures != mLastKnown.departures ||
      aDesired.arrivals != mLastKnown.arrivals) {
    return true;
  }
  for (const auto& [id, record] : aDesired.servers) {
    const auto it = mLastKnown.servers.find(id);
    if (it == mLastKnown.servers.end() || it->second.incarnation != record.incarnation) {
      return true;
    }
  }
  return false;
}

void CellMachine::WriteIfNeeded(Instant aNow)
{
  if (mWriteInFlight || mMustRead || mReadInFlight || aNow < mPlatformRetryAt) {
    return;
  }
  CellObject desired = DesiredObject();
  if (!NeedsWrite(desired)) {
    mPlatformFailingSince.reset();
    return;
  }
  StartWrite(std::move(desired));
}

void CellMachine::AdvanceHandover(Instant aNow)
{
  if (mWriteInFlight || mMustRead || mReadInFlight || aNow < mPlatformRetryAt) {
    return;
  }
  for (const auto& [shard, state] : mShards) {
    if (state.ordersInFlight != 0) {
      return;
    }
  }
  StartWrite(HandoverObject());
}

void CellMachine::SendDueCalls(Instant aNow)
{
  for (auto& [id, server] : mServers) {
    if (server.callInFlight) {
      continue;
    }
    const bool changes = !server.pendingAdd.empty() || !server.pendingRemove.empty();
    const bool sendNow = changes && server.unackedAdd.empty() && server.unackedRemove.empty();
    if (aNow >= server.nextCallAt || sendNow) {
      SendCall(id, server);
    }
  }
}

void CellMachine::SendCall(const std::string& aId, ServerState& aServer)
{
  if (aServer.status != ServerStatus::kFenced) {
    // A server that does not check tokens would keep accepting orders from earlier leaders, so it
    // is not called before these are confirmed stopped and their grants have expired.
    if (aServer.status == ServerStatus::kUnknown && !aServer.spec.checked) {
      return;
    }
    aServer.callInFlight = true;
    mActions.emplace_back(FenceServer{ aId, mToken, ++aServer.callNumber });
    return;
  }
  aServer.callInFlight = true;
  aServer.grantsExpireAt =
    std::max(aServer.grantsExpireAt, aServer.clockReadAt + MaxGrantLifetime(aServer.spec.checked));
  aServer.unackedAdd = aServer.pendingAdd;
  aServer.unackedRemove = aServer.pendingRemove;
  GrantServer call;
  call.server = aId;
  call.token = mToken;
  call.number = ++aServer.callNumber;
  call.incarnation = aServer.incarnation;
  call.until = aServer.clockReading + mTimings.grantTtl.count();
  call.add = aServer.pendingAdd;
  call.remove = aServer.pendingRemove;
  mActions.emplace_back(std::move(call));
}

// --- Views ----------------------------------------------------------------------------------

void CellMachine::ReportEvent(CellEvent aEvent,
                              ShardId aShard,
                              const std::string& aServer,
                              Epoch aEpoch)
{
  mActions.emplace_back(ReportCellEvent{ aEvent, aShard, aServer, aEpoch });
}

std::vector<CellAction> CellMachine::TakeActions()
{
  return std::exchange(mActions, {});
}

std::size_t CellMachine::UnservedCount() const
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
  const auto relative = [&](Instant aAt) {
    const std::int64_t delta = (aAt - aNow).count();
    const std::int64_t bound = MaxGrantLifetime(false).count();
    return std::clamp(delta, -bound, bound);
  };
  buf << NameOf(kCellRoleNames, mRole) << " t" << mToken << " v" << mLastKnownVersion
      << (mHasLastKnown ? "k" : "") << (mMustRead ? "m" : "") << (mReadInFlight ? "r" : "")
      << " retry" << std::max<std::int64_t>(relative(mPlatformRetryAt), 0) << " taken"
      << relative(mAttachedAt) << " base" << EncodeCell(mLastKnown) << " w"
      << (mWriteInFlight ? EncodeCell(*mWriteInFlight) : "");
  for (const CellObject& it : mUnconfirmedWrites) {
    buf << " u" << EncodeCell(it);
  }
  if (mPlatformFailingSince) {
    buf << " f" << relative(*mPlatformFailingSince);
  }
  for (const auto& [id, at] : mStoppedDaemons) {
    buf << " g" << id.id << id.incarnation << ":" << relative(at);
  }
  for (const auto& [id, it] : mServers) {
    buf << " S" << id << static_cast<int>(it.status) << it.everFenced << it.callInFlight << "i"
        << it.incarnation << "n" << it.callNumber << "c"
        << std::max<std::int64_t>(relative(it.nextCallAt), 0) << "r" << relative(it.clockReadAt)
        << "l" << relative(it.grantsExpireAt);
    for (const auto& [shard, epoch] : it.reportedEpochs) {
      buf << "R" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : it.grantedEpochs) {
      buf << "G" << shard << "." << epoch;
    }
    for (const auto& [shard, epoch] : it.pendingAdd) {
      buf << "+" << shard << "." << epoch;
    }
    for (const ShardId shard : it.pendingRemove) {
      buf << "-" << shard;
    }
    buf << "|" << it.unackedAdd.size() << "|" << it.unackedRemove.size();
  }
  for (const auto& [shard, it] : mShards) {
    buf << " #" << shard << NameOf(kShardPhaseNames, it.phase) << it.record.owner << "."
        << it.record.epoch << "." << it.record.standby << (it.ownerKnown ? "k" : "")
        << it.ordersInFlight << it.moveToServer << it.moveToCell
        << (it.recordBeforeMove ? it.recordBeforeMove->owner : "");
  }
  for (const auto& [shard, departure] : mDepartures) {
    buf << " o" << shard << "." << departure.epoch << departure.toCell;
  }
  for (const auto& [shard, from] : mArrivals) {
    buf << " a" << shard << from;
  }
  for (const std::string& it : mCellReadsInFlight) {
    buf << " ro" << it;
  }
  return buf.str();
}

} // namespace hawthornlug
