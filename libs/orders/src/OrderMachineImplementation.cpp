#include "OrderMachineImplementation.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;

namespace {

// Outcome objects are batched for longer than claims because no caller waits for them.
constexpr std::int64_t kOutcomeBatchIntervals = 5;

// First 128 bits in hexadecimal, which keeps a record below kMaximumRecordBytes.
constexpr std::size_t kStoredDigestLength = 32;

template <class T>
void Append(std::vector<T>& aTo, std::vector<T> aFrom)
{
  std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aTo));
}

void KeepEarliest(std::optional<Time>& aNext, std::optional<Time> aTime)
{
  if (aTime && (!aNext || *aTime < *aNext)) {
    aNext = aTime;
  }
}

} // namespace

OrderMachine::Implementation::Implementation(OrderOptions aOptions)
  : mOptions(std::move(aOptions))
  , mOutcomeWriter(mOptions.processNonce, mOptions.batchInterval * kOutcomeBatchIntervals)
{
}

OrderActions OrderMachine::Implementation::Start(const OrderRequest& aRequest, Time aNow)
{
  OrderActions actions;
  const auto refuse = [&](ResponseReason aReason) {
    actions.responses.push_back(Refuse(aRequest.id, aReason));
    return actions;
  };
  const std::optional<OrderKey> key = ParseOrderKey(aRequest.key);
  if (!key) {
    return refuse(ResponseReason::InvalidKey);
  }
  const KeyAge age = AgeOf(*key, aRequest.now);
  if (age != KeyAge::Current) {
    return refuse(age == KeyAge::TooOld ? ResponseReason::KeyTooOld
                                        : ResponseReason::KeyTooFarInFuture);
  }
  if (aNow >= aRequest.deadline) {
    return refuse(ResponseReason::DeadlineExceeded);
  }
  if (mOrders.size() >= mOptions.maximumConcurrentOrders) {
    return refuse(ResponseReason::Overload);
  }
  Order order;
  order.request = aRequest;
  order.request.digest.resize(std::min(order.request.digest.size(), kStoredDigestLength));
  order.key = { aRequest.account, key->text };
  order.shard = { aRequest.service, BucketOf(key->date), ShardOf(order.key) };
  order.nonce = mOptions.processNonce + "-" + std::to_string(++mClaimCount);
  order.timeoutAt = std::min(aRequest.deadline, aNow + mOptions.claimTimeout);
  const std::map<ClaimKey, RequestId>::const_iterator active = mOrderByKey.find(order.key);
  if (active != mOrderByKey.end()) {
    if (mOrders.at(active->second).request.digest != order.request.digest) {
      return refuse(ResponseReason::RequestMismatch);
    }
    WaitForOutcome(std::move(order), aNow, actions);
    return actions;
  }
  Order& stored = mOrders[aRequest.id] = std::move(order);
  if (mInjectedFaults.dispatchBeforeClaim) {
    stored.step = Step::Dispatched;
    actions.dispatches.push_back({ aRequest.id, aRequest.deadline });
  }
  Claim(stored, aNow, actions);
  return actions;
}

void OrderMachine::Implementation::Claim(Order& aOrder, Time aNow, OrderActions& aActions)
{
  Shard& shard = FindOrCreateShard(aOrder.shard, aOrder.request.now);
  const ClaimRecord* known = shard.Find(aOrder.key);
  if (known != nullptr && !known->outcome && !IsOwnNonce(known->nonce)) {
    shard.Invalidate(); // another process may have recorded the outcome in the meantime
  }
  mOrderByNonce[aOrder.nonce] = aOrder.request.id;
  mOrderByKey[aOrder.key] = aOrder.request.id;
  shard.AddClaim({ aOrder.key, aOrder.request.digest, aOrder.nonce, mOptions.daemon, {} }, aNow);
  AdvanceShard(shard, aNow, aActions);
}

OrderActions OrderMachine::Implementation::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  OrderActions actions;
  const std::map<std::uint64_t, OutcomeRead>::iterator read = mOutcomeReads.find(aReply.number);
  if (read != mOutcomeReads.end()) {
    const OutcomeRead pending = std::move(read->second);
    mOutcomeReads.erase(read);
    OnOutcomeObject(pending, aReply, actions);
    return actions;
  }
  std::vector<OutcomeUpdate> durable;
  if (mOutcomeWriter.OnReply(aReply, aNow, durable)) {
    for (OutcomeUpdate& item : durable) {
      Shard& shard = FindOrCreateShard(item.shard, WallTime{});
      shard.AddOutcome(item.key, item.nonce, std::move(item.outcome), aNow);
      AdvanceShard(shard, aNow, actions);
    }
    StartDueOutcomeWrite(aNow, actions);
    return actions;
  }
  for (Shards::value_type& item : mShards) {
    ShardActions shardActions;
    if (item.second.OnReply(aReply, aNow, shardActions)) {
      OnEvents(shardActions.events, aNow, actions);
      AdvanceShard(item.second, aNow, actions);
      break;
    }
  }
  return actions;
}

OrderActions OrderMachine::Implementation::OnBackendReply(const BackendReply& aReply, Time aNow)
{
  OrderActions actions;
  const Orders::iterator it = mOrders.find(aReply.id);
  if (it == mOrders.end() || it->second.step != Step::Dispatched) {
    return actions;
  }
  const Order order = it->second;
  Remove(order);
  if (aReply.status == BackendStatus::Unknown) {
    const bool misreport = mInjectedFaults.reportNoResponseAsNotRun;
    actions.responses.push_back(Refuse(aReply.id, misreport ? ResponseReason::BackendUnreachable
                                                            : ResponseReason::BackendNoResponse));
    return actions;
  }
  if (aReply.status == BackendStatus::NotSent) {
    RecordNotRun(order, aNow);
    actions.responses.push_back(Refuse(aReply.id, ResponseReason::BackendUnreachable));
  } else {
    RecordOutcome(
      order, { OutcomeKind::Executed, aReply.httpStatus, aReply.contentType, aReply.body, {}, 0 },
      aNow);
    actions.responses.push_back({ aReply.id, ResponseKind::Executed, ResponseReason::None,
                                  aReply.httpStatus, aReply.contentType, aReply.body, false });
  }
  StartDueOutcomeWrite(aNow, actions);
  AdvanceShard(FindOrCreateShard(order.shard, WallTime{}), aNow, actions);
  return actions;
}

OrderActions OrderMachine::Implementation::OnTime(Time aNow)
{
  OrderActions actions;
  std::vector<RequestId> expired;
  for (const Orders::value_type& item : mOrders) {
    const bool hasTimeout = item.second.step == Step::Claiming || item.second.step == Step::Waiting;
    if (hasTimeout && aNow >= item.second.timeoutAt) {
      expired.push_back(item.first);
    }
  }
  for (const RequestId id : expired) {
    TimeOut(mOrders.at(id), aNow, actions);
  }
  PollWaiting(aNow, actions);
  for (Shards::value_type& item : mShards) {
    AdvanceShard(item.second, aNow, actions);
  }
  StartDueOutcomeWrite(aNow, actions);
  EvictIdleShards(aNow);
  return actions;
}

std::optional<Time> OrderMachine::Implementation::NextWakeUp() const
{
  std::optional<Time> next;
  for (const Orders::value_type& item : mOrders) {
    if (item.second.step == Step::Claiming || item.second.step == Step::Waiting) {
      KeepEarliest(next, item.second.timeoutAt);
    }
    if (item.second.step == Step::Waiting) {
      KeepEarliest(next, item.second.nextPoll);
    }
  }
  for (const Shards::value_type& item : mShards) {
    KeepEarliest(next, item.second.NextWakeUp());
  }
  KeepEarliest(next, mOutcomeWriter.NextWakeUp());
  return next;
}

bool OrderMachine::Implementation::IsIdle() const
{
  return mOrders.empty() && mOutcomeReads.empty() && mOutcomeWriter.Pending() == 0 &&
         std::all_of(mShards.begin(), mShards.end(),
                     [](const Shards::value_type& aItem) { return aItem.second.IsIdle(); });
}

bool OrderMachine::Implementation::IsOwnNonce(const std::string& aNonce) const
{
  return aNonce.starts_with(mOptions.processNonce + "-");
}

// If no other process writes the shards of the service, a recent shard that is not cached is
// assumed not to exist yet and is created without a read. With a zero aNow, no shard is recent.
Shard& OrderMachine::Implementation::FindOrCreateShard(const ShardKey& aKey, WallTime aNow)
{
  const Shards::iterator it = mShards.find(aKey);
  if (it != mShards.end()) {
    return it->second;
  }
  const bool recent = aNow.milliseconds > 0 && aKey.bucket + 1 >= BucketOf(aNow);
  const bool shared =
    std::any_of(mShards.begin(), mShards.end(), [&aKey](const Shards::value_type& aItem) {
      return aItem.first.service == aKey.service && aItem.second.IsShared();
    });
  const Shard::Options options{ mOptions.batchInterval, recent && !shared, shared,
                                mInjectedFaults.assumeLostRepliesApplied,
                                mInjectedFaults.skipFloorCheck };
  return mShards.emplace(aKey, Shard(aKey, options)).first->second;
}

void OrderMachine::Implementation::AdvanceShard(Shard& aShard, Time aNow, OrderActions& aActions)
{
  for (;;) {
    ShardActions shardActions = aShard.Advance(aNow, mLastRequestNumber);
    Append(aActions.requests, std::move(shardActions.requests));
    if (shardActions.events.empty()) {
      return;
    }
    OnEvents(shardActions.events, aNow, aActions);
  }
}

void OrderMachine::Implementation::StartDueOutcomeWrite(Time aNow, OrderActions& aActions)
{
  Append(aActions.requests, mOutcomeWriter.StartDueWrite(aNow, mLastRequestNumber));
}

void OrderMachine::Implementation::OnEvents(const std::vector<ClaimEvent>& aEvents, Time aNow,
                                            OrderActions& aActions)
{
  for (const ClaimEvent& event : aEvents) {
    const std::map<std::string, RequestId>::const_iterator it = mOrderByNonce.find(event.nonce);
    if (it == mOrderByNonce.end()) {
      continue;
    }
    Order& order = mOrders.at(it->second);
    if (event.kind == ClaimEventKind::Claimed) {
      OnClaimed(order, aNow, aActions);
      continue;
    }
    const Order removed = order;
    Remove(removed);
    if (removed.step != Step::Claiming) {
      continue; // already responded to
    }
    if (event.kind == ClaimEventKind::AlreadyClaimed) {
      OnAlreadyClaimed(removed, event.record, aNow, aActions);
    } else {
      const bool full = event.kind == ClaimEventKind::Full;
      aActions.responses.push_back(
        Refuse(removed.request.id, full ? ResponseReason::ShardFull : ResponseReason::KeyTooOld));
    }
  }
}

} // namespace masticstep::orders
