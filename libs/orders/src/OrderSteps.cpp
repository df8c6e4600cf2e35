#include "OrderMachineImplementation.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

constexpr Duration kShardIdleTime = Seconds(30);
constexpr std::size_t kMaximumPendingOutcomes = 10000;
constexpr std::size_t kMaximumKeptBody = 256 * 1024;
// First pause before a claim without outcome is looked at again; it doubles. With the patience of
// 2 s a claim of a dead process costs six reads before the answer "unknown".
constexpr Duration kFirstCheck = Milliseconds(50);

// Returns whether a record with this outcome inside stays within the size on which the number of
// records of an object is based.
bool FitsInRecord(ClaimRecord aRecord, const CallOutcome& aOutcome)
{
  if (aOutcome.body.size() > kMaximumInlineBodyBytes) {
    return false;
  }
  aRecord.outcome = aOutcome;
  std::string text;
  AppendRecord(aRecord, text);
  return text.size() <= kMaximumRecordBytes;
}

} // namespace

void OrderMachine::Implementation::OnClaimed(Order& aOrder, Time aNow, OrderActions& aActions)
{
  if (aOrder.step == Step::Dispatched) {
    return;
  }
  if (aOrder.step == Step::Claiming && aNow < aOrder.request.deadline) {
    aOrder.step = Step::Dispatched;
    aActions.dispatches.push_back({ aOrder.request.id, aOrder.request.deadline });
    return;
  }
  // The call was not dispatched and never will be, so its claim can be closed truthfully.
  const Order copy = aOrder;
  Remove(copy);
  RecordNotRun(copy, aNow);
  if (copy.step == Step::Claiming) {
    aActions.responses.push_back(Refuse(copy.request.id, ResponseReason::DeadlineExceeded));
  }
}

void OrderMachine::Implementation::OnTaken(const Order& aOrder, const ClaimRecord& aRecord,
                                           Time aNow, OrderActions& aActions)
{
  const RequestId id = aOrder.request.id;
  if (aRecord.digest != aOrder.request.digest) {
    aActions.responses.push_back(Refuse(id, ResponseReason::RequestMismatch));
  } else if (aRecord.outcome) {
    Replay(id, aOrder.shard, *aRecord.outcome, aActions);
  } else if (mFaults.runsClaimsWithoutOutcome) {
    mOrders[id] = aOrder;
    mOrders[id].step = Step::Dispatched;
    aActions.dispatches.push_back({ id, aOrder.request.deadline });
  } else {
    WaitForOutcome(aOrder, aNow, aActions);
  }
}

// The call may still run, and its outcome is written up to five batchInterval intervals after the
// answer.
void OrderMachine::Implementation::WaitForOutcome(Order aOrder, Time aNow, OrderActions& aActions)
{
  const RequestId id = aOrder.request.id;
  if (aNow >= aOrder.giveUp) {
    aActions.responses.push_back(Refuse(id, ResponseReason::Claimed));
    return;
  }
  aOrder.step = Step::Waiting;
  aOrder.pause = std::max(aOrder.pause * 2, kFirstCheck);
  aOrder.nextCheck = aNow + aOrder.pause;
  mOrders[id] = std::move(aOrder);
}

void OrderMachine::Implementation::CheckWaiting(Time aNow, OrderActions& aActions)
{
  std::vector<RequestId> due;
  for (const Orders::value_type& item : mOrders) {
    if (item.second.step == Step::Waiting && aNow >= item.second.nextCheck) {
      due.push_back(item.first);
    }
  }
  for (const RequestId id : due) {
    Order& order = mOrders.at(id);
    if (mActive.contains(order.key)) {
      WaitForOutcome(Order(order), aNow, aActions);
      continue;
    }
    // The record, if it is still there, decides; a dropped one is noticed by the floor.
    order.step = Step::Claiming;
    Claim(order, aNow, aActions);
  }
}

void OrderMachine::Implementation::Replay(RequestId aId, const ShardKey& aShard,
                                          const CallOutcome& aOutcome, OrderActions& aActions)
{
  if (aOutcome.kind == OutcomeKind::NotRun) {
    aActions.responses.push_back(Refuse(aId, ResponseReason::ClaimedButNotRun));
  } else if (aOutcome.kind == OutcomeKind::NotKept) {
    aActions.responses.push_back(Refuse(aId, ResponseReason::OutcomeTooLarge));
  } else if (!aOutcome.object.empty()) {
    mReads[++mNumber] = { aId, aOutcome };
    aActions.requests.push_back(
      { mNumber, ReadRequest{ OutcomeObjectOf(aShard, aOutcome.object) } });
  } else {
    aActions.responses.push_back({ aId, ResponseKind::Executed, ResponseReason::None,
                                   aOutcome.status, aOutcome.contentType, aOutcome.body, true });
  }
}

void OrderMachine::Implementation::OnOutcomeObject(const OutcomeRead& aRead,
                                                   const PlatformReply& aReply,
                                                   OrderActions& aActions)
{
  std::optional<CallOutcome> outcome;
  if (aReply.status == PlatformStatus::Done) {
    outcome = ParseOutcome(aReply.body, aRead.outcome.index);
  }
  if (!outcome) {
    aActions.responses.push_back(Refuse(aRead.id, ResponseReason::Claimed));
    return;
  }
  aActions.responses.push_back({ aRead.id, ResponseKind::Executed, ResponseReason::None,
                                 outcome->status, outcome->contentType, outcome->body, true });
}

// The request is answered now; whether its claim became durable may be found out later.
void OrderMachine::Implementation::GiveUp(Order& aOrder, Time aNow, OrderActions& aActions)
{
  if (aOrder.step == Step::Waiting || aOrder.pause > Duration::zero()) {
    // The key is claimed by another request, whatever becomes of this one.
    aActions.responses.push_back(Refuse(aOrder.request.id, ResponseReason::Claimed));
  } else {
    const bool late = aNow >= aOrder.request.deadline;
    aActions.responses.push_back(
      Refuse(aOrder.request.id,
             late ? ResponseReason::DeadlineExceeded : ResponseReason::PlatformUnavailable));
  }
  aOrder.step = Step::Abandoned;
  const Shards::iterator shard = mShards.find(aOrder.shard);
  if (shard == mShards.end() || shard->second.Withdraw(aOrder.nonce)) {
    Remove(Order(aOrder));
  }
}

void OrderMachine::Implementation::Record(const Order& aOrder, CallOutcome aOutcome, Time aNow)
{
  Shard& shard = ShardFor(aOrder.shard, WallTime{});
  if (mOutcomes.Pending() + shard.PendingOutcomes() >= kMaximumPendingOutcomes) {
    ++mDroppedOutcomes; // the claim stays without outcome, which responses "unknown"
    return;
  }
  const ClaimRecord record{ aOrder.key, aOrder.request.digest, aOrder.nonce, mOptions.daemon, {} };
  if (aOutcome.body.size() > kMaximumKeptBody) {
    shard.AddOutcome(aOrder.key, aOrder.nonce,
                     { OutcomeKind::NotKept, aOutcome.status, {}, {}, {}, 0 }, aNow);
  } else if (aOutcome.body.empty() ||
             (shard.HasRoomForOutcome() && FitsInRecord(record, aOutcome))) {
    shard.AddOutcome(aOrder.key, aOrder.nonce, std::move(aOutcome), aNow);
  } else {
    mOutcomes.Add({ aOrder.shard, aOrder.key, aOrder.nonce, std::move(aOutcome) }, aNow);
  }
}

void OrderMachine::Implementation::RecordNotRun(const Order& aOrder, Time aNow)
{
  Record(aOrder, { OutcomeKind::NotRun, 0, {}, {}, {}, 0 }, aNow);
}

void OrderMachine::Implementation::Remove(const Order& aOrder)
{
  const RequestId id = aOrder.request.id;
  mByNonce.erase(aOrder.nonce);
  const std::map<ClaimKey, RequestId>::iterator active = mActive.find(aOrder.key);
  if (active != mActive.end() && active->second == id) {
    mActive.erase(active);
  }
  mOrders.erase(id);
}

// Keeps memory within the buckets in use; a dropped shard is read again when needed.
void OrderMachine::Implementation::DropIdleShards(Time aNow)
{
  // An abandoned claim that the shard no longer follows will not become known here.
  std::vector<Order> forgotten;
  for (const Orders::value_type& item : mOrders) {
    const Shards::const_iterator shard = mShards.find(item.second.shard);
    const bool followed = shard != mShards.end() && shard->second.HasClaim(item.second.nonce);
    if (item.second.step == Step::Abandoned && !followed) {
      forgotten.push_back(item.second);
    }
  }
  for (const Order& order : forgotten) {
    Remove(order);
  }
  std::erase_if(mShards, [aNow](const Shards::value_type& aItem) {
    return aItem.second.IsIdle() && aNow - aItem.second.LastUse() >= kShardIdleTime;
  });
}

} // namespace masticstep::orders
