#include "OrderMachineImplementation.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;

namespace {

constexpr std::int64_t kOutcomeIntervals = 5; // no caller waits for an outcome object

constexpr std::size_t kDigestLength = 32; // 128 bits; keeps a record below 400 bytes

template <class T>
void Append(std::vector<T>& aTo, std::vector<T> aFrom)
{
  std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aTo));
}

void Consider(std::optional<Time>& aNext, std::optional<Time> aTime)
{
  if (aTime && (!aNext || *aTime < *aNext)) {
    aNext = aTime;
  }
}

} // namespace

OrderMachine::Implementation::Implementation(OrderOptions aOptions)
  : mOptions(std::move(aOptions))
  , mOutcomes(mOptions.processNonce, mOptions.batchInterval * kOutcomeIntervals)
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
  order.request.digest.resize(std::min(order.request.digest.size(), kDigestLength));
  order.key = { aRequest.account, key->text };
  order.shard = { aRequest.service, BucketOf(key->date), ShardOf(order.key) };
  order.nonce = mOptions.processNonce + "-" + std::to_string(++mClaims);
  order.giveUp = std::min(aRequest.deadline, aNow + mOptions.claimTimeout);
  const std::map<ClaimKey, RequestId>::const_iterator active = mActive.find(order.key);
  if (active != mActive.end()) {
    if (mOrders.at(active->second).request.digest != order.request.digest) {
      return refuse(ResponseReason::RequestMismatch);
    }
    WaitForOutcome(std::move(order), aNow, actions);
    return actions;
  }
  Order& stored = mOrders[aRequest.id] = std::move(order);
  if (mFaults.dispatchBeforeClaim) {
    stored.step = Step::Dispatched;
    actions.dispatches.push_back({ aRequest.id, aRequest.deadline });
  }
  Claim(stored, aNow, actions);
  return actions;
}

void OrderMachine::Implementation::Claim(Order& aOrder, Time aNow, OrderActions& aActions)
{
  Shard& shard = ShardFor(aOrder.shard, aOrder.request.now);
  const ClaimRecord* known = shard.Find(aOrder.key);
  if (known != nullptr && !known->outcome && !IsOwnNonce(known->nonce)) {
    shard.Refresh(); // another process may have recorded the outcome since
  }
  mByNonce[aOrder.nonce] = aOrder.request.id;
  mActive[aOrder.key] = aOrder.request.id;
  shard.AddClaim({ aOrder.key, aOrder.request.digest, aOrder.nonce, mOptions.daemon, {} }, aNow);
  PumpShard(shard, aNow, aActions);
}

OrderActions OrderMachine::Implementation::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  OrderActions actions;
  const std::map<std::uint64_t, OutcomeRead>::iterator read = mReads.find(aReply.number);
  if (read != mReads.end()) {
    const OutcomeRead pending = std::move(read->second);
    mReads.erase(read);
    OnOutcomeObject(pending, aReply, actions);
    return actions;
  }
  std::vector<StoredOutcome> stored;
  if (mOutcomes.OnReply(aReply, aNow, stored)) {
    for (StoredOutcome& item : stored) {
      Shard& shard = ShardFor(item.shard, WallTime{});
      shard.AddOutcome(item.key, item.nonce, std::move(item.outcome), aNow);
      PumpShard(shard, aNow, actions);
    }
    PumpOutcomes(aNow, actions);
    return actions;
  }
  for (Shards::value_type& item : mShards) {
    ShardActions done;
    if (item.second.OnReply(aReply, aNow, done)) {
      OnEvents(done.events, aNow, actions);
      PumpShard(item.second, aNow, actions);
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
    const bool lie = mFaults.silentBackendIsNotRun;
    actions.responses.push_back(Refuse(aReply.id, lie ? ResponseReason::BackendUnreachable
                                                      : ResponseReason::BackendNoResponse));
    return actions;
  }
  if (aReply.status == BackendStatus::NotSent) {
    RecordNotRun(order, aNow);
    actions.responses.push_back(Refuse(aReply.id, ResponseReason::BackendUnreachable));
  } else {
    Record(order,
           { OutcomeKind::Executed, aReply.httpStatus, aReply.contentType, aReply.body, {}, 0 },
           aNow);
    actions.responses.push_back({ aReply.id, ResponseKind::Executed, ResponseReason::None,
                                  aReply.httpStatus, aReply.contentType, aReply.body, false });
  }
  PumpOutcomes(aNow, actions);
  PumpShard(ShardFor(order.shard, WallTime{}), aNow, actions);
  return actions;
}

OrderActions OrderMachine::Implementation::OnTime(Time aNow)
{
  OrderActions actions;
  std::vector<RequestId> late;
  for (const Orders::value_type& item : mOrders) {
    const bool open = item.second.step == Step::Claiming || item.second.step == Step::Waiting;
    if (open && aNow >= item.second.giveUp) {
      late.push_back(item.first);
    }
  }
  for (const RequestId id : late) {
    GiveUp(mOrders.at(id), aNow, actions);
  }
  CheckWaiting(aNow, actions);
  for (Shards::value_type& item : mShards) {
    PumpShard(item.second, aNow, actions);
  }
  PumpOutcomes(aNow, actions);
  DropIdleShards(aNow);
  return actions;
}

std::optional<Time> OrderMachine::Implementation::NextWakeUp() const
{
  std::optional<Time> next;
  for (const Orders::value_type& item : mOrders) {
    if (item.second.step == Step::Claiming || item.second.step == Step::Waiting) {
      Consider(next, item.second.giveUp);
    }
    if (item.second.step == Step::Waiting) {
      Consider(next, item.second.nextCheck);
    }
  }
  for (const Shards::value_type& item : mShards) {
    Consider(next, item.second.NextWakeUp());
  }
  Consider(next, mOutcomes.NextWakeUp());
  return next;
}

bool OrderMachine::Implementation::IsIdle() const
{
  return mOrders.empty() && mReads.empty() && mOutcomes.Pending() == 0 &&
         std::all_of(mShards.begin(), mShards.end(),
                     [](const Shards::value_type& aItem) { return aItem.second.IsIdle(); });
}

bool OrderMachine::Implementation::IsOwnNonce(const std::string& aNonce) const
{
  return aNonce.starts_with(mOptions.processNonce + "-");
}

// A shard of the present bucket is created without a read if no other process writes the service's
// shards: it is then new or known.
Shard& OrderMachine::Implementation::ShardFor(const ShardKey& aKey, WallTime aNow)
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
                                mFaults.assumeLostAnswersApplied, mFaults.skipFloorCheck };
  return mShards.emplace(aKey, Shard(aKey, options)).first->second;
}

void OrderMachine::Implementation::PumpShard(Shard& aShard, Time aNow, OrderActions& aActions)
{
  for (;;) {
    ShardActions done = aShard.Pump(aNow, mNumber);
    Append(aActions.requests, std::move(done.requests));
    if (done.events.empty()) {
      return;
    }
    OnEvents(done.events, aNow, aActions);
  }
}

void OrderMachine::Implementation::PumpOutcomes(Time aNow, OrderActions& aActions)
{
  Append(aActions.requests, mOutcomes.Pump(aNow, mNumber));
}

void OrderMachine::Implementation::OnEvents(const std::vector<ClaimEvent>& aEvents, Time aNow,
                                            OrderActions& aActions)
{
  for (const ClaimEvent& event : aEvents) {
    const std::map<std::string, RequestId>::const_iterator it = mByNonce.find(event.nonce);
    if (it == mByNonce.end()) {
      continue;
    }
    Order& order = mOrders.at(it->second);
    if (event.kind == ClaimEventKind::Claimed) {
      OnClaimed(order, aNow, aActions);
      continue;
    }
    const Order copy = order;
    Remove(copy);
    if (copy.step != Step::Claiming) {
      continue; // already answered
    }
    if (event.kind == ClaimEventKind::Taken) {
      OnTaken(copy, event.record, aNow, aActions);
    } else {
      const bool full = event.kind == ClaimEventKind::Full;
      aActions.responses.push_back(
        Refuse(copy.request.id, full ? ResponseReason::ShardFull : ResponseReason::KeyTooOld));
    }
  }
}

} // namespace masticstep::orders
