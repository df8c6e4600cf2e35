#include "OrderMachineImplementation.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

constexpr Duration kShardIdleTimeout = Seconds(30);
constexpr std::size_t kMaximumPendingOutcomes = 10000;
constexpr std::size_t kMaximumStoredBodyBytes = 256 * 1024;
// Delay before a claim without outcome is first read again; doubles with each poll. With a claim
// timeout of 2 s, a claim of a crashed process costs six reads before the response "unknown".
constexpr Duration kInitialPollInterval = Milliseconds(50);

// Returns whether the record with this outcome inline stays within kMaximumRecordBytes, on which
// the number of records per object is based.
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
  // The call was not dispatched and never will be, so the outcome "not run" is correct.
  const Order removed = aOrder;
  Remove(removed);
  RecordNotRun(removed, aNow);
  if (removed.step == Step::Claiming) {
    aActions.responses.push_back(Refuse(removed.request.id, ResponseReason::DeadlineExceeded));
  }
}

void OrderMachine::Implementation::OnAlreadyClaimed(const Order& aOrder, const ClaimRecord& aRecord,
                                                    Time aNow, OrderActions& aActions)
{
  const RequestId id = aOrder.request.id;
  if (aRecord.digest != aOrder.request.digest) {
    aActions.responses.push_back(Refuse(id, ResponseReason::RequestMismatch));
  } else if (aRecord.outcome) {
    Replay(id, aOrder.shard, *aRecord.outcome, aActions);
  } else if (mInjectedFaults.dispatchClaimsWithoutOutcome) {
    mOrders[id] = aOrder;
    mOrders[id].step = Step::Dispatched;
    aActions.dispatches.push_back({ id, aOrder.request.deadline });
  } else {
    WaitForOutcome(aOrder, aNow, aActions);
  }
}

// Polls for the outcome: the call may still be running, and its outcome is written up to five batch
// intervals after the response to its caller.
void OrderMachine::Implementation::WaitForOutcome(Order aOrder, Time aNow, OrderActions& aActions)
{
  const RequestId id = aOrder.request.id;
  if (aNow >= aOrder.timeoutAt) {
    aActions.responses.push_back(Refuse(id, ResponseReason::ClaimedWithoutOutcome));
    return;
  }
  aOrder.step = Step::Waiting;
  aOrder.pollInterval = std::max(aOrder.pollInterval * 2, kInitialPollInterval);
  aOrder.nextPoll = aNow + aOrder.pollInterval;
  mOrders[id] = std::move(aOrder);
}

void OrderMachine::Implementation::PollWaiting(Time aNow, OrderActions& aActions)
{
  std::vector<RequestId> due;
  for (const Orders::value_type& item : mOrders) {
    if (item.second.step == Step::Waiting && aNow >= item.second.nextPoll) {
      due.push_back(item.first);
    }
  }
  for (const RequestId id : due) {
    Order& order = mOrders.at(id);
    // Another order of this process has claimed the key and is still in progress.
    if (mOrderByKey.contains(order.key)) {
      WaitForOutcome(Order(order), aNow, aActions);
      continue;
    }
    // Claims the key again: an existing record decides the response, and the check against the
    // retention floor detects a record that retention has deleted.
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
    mOutcomeReads[++mLastRequestNumber] = { aId, aOutcome };
    aActions.requests.push_back(
      { mLastRequestNumber, ReadRequest{ OutcomeObjectOf(aShard, aOutcome.object) } });
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
    aActions.responses.push_back(Refuse(aRead.id, ResponseReason::ClaimedWithoutOutcome));
    return;
  }
  aActions.responses.push_back({ aRead.id, ResponseKind::Executed, ResponseReason::None,
                                 outcome->status, outcome->contentType, outcome->body, true });
}

// Responds to the request now; its claim may later turn out to be durable.
void OrderMachine::Implementation::TimeOut(Order& aOrder, Time aNow, OrderActions& aActions)
{
  if (aOrder.step == Step::Waiting || aOrder.pollInterval > Duration::zero()) {
    // Another request has claimed the key, so whether its call runs is unknown.
    aActions.responses.push_back(Refuse(aOrder.request.id, ResponseReason::ClaimedWithoutOutcome));
  } else {
    const bool deadlineExceeded = aNow >= aOrder.request.deadline;
    aActions.responses.push_back(
      Refuse(aOrder.request.id, deadlineExceeded ? ResponseReason::DeadlineExceeded
                                                 : ResponseReason::PlatformUnavailable));
  }
  aOrder.step = Step::Abandoned;
  const Shards::iterator shard = mShards.find(aOrder.shard);
  if (shard == mShards.end() || shard->second.CancelClaim(aOrder.nonce)) {
    Remove(Order(aOrder)); // a copy, because Remove destroys aOrder
  }
}

void OrderMachine::Implementation::RecordOutcome(const Order& aOrder, CallOutcome aOutcome,
                                                 Time aNow)
{
  // A zero time, so that a shard that is no longer cached is read before it is written.
  Shard& shard = FindOrCreateShard(aOrder.shard, WallTime{});
  if (mOutcomeWriter.Pending() + shard.PendingOutcomes() >= kMaximumPendingOutcomes) {
    ++mDroppedOutcomes; // later requests with the key get the response "unknown"
    return;
  }
  const ClaimRecord record{ aOrder.key, aOrder.request.digest, aOrder.nonce, mOptions.daemon, {} };
  if (aOutcome.body.size() > kMaximumStoredBodyBytes) {
    shard.AddOutcome(aOrder.key, aOrder.nonce,
                     { OutcomeKind::NotKept, aOutcome.status, {}, {}, {}, 0 }, aNow);
  } else if (aOutcome.body.empty() ||
             (shard.HasRoomForOutcome() && FitsInRecord(record, aOutcome))) {
    shard.AddOutcome(aOrder.key, aOrder.nonce, std::move(aOutcome), aNow);
  } else {
    mOutcomeWriter.Add({ aOrder.shard, aOrder.key, aOrder.nonce, std::move(aOutcome) }, aNow);
  }
}

void OrderMachine::Implementation::RecordNotRun(const Order& aOrder, Time aNow)
{
  RecordOutcome(aOrder, { OutcomeKind::NotRun, 0, {}, {}, {}, 0 }, aNow);
}

void OrderMachine::Implementation::Remove(const Order& aOrder)
{
  const RequestId id = aOrder.request.id;
  mOrderByNonce.erase(aOrder.nonce);
  const std::map<ClaimKey, RequestId>::iterator active = mOrderByKey.find(aOrder.key);
  if (active != mOrderByKey.end() && active->second == id) {
    mOrderByKey.erase(active);
  }
  mOrders.erase(id);
}

// Limits the cache to the shards in use. An evicted shard is read again when needed.
void OrderMachine::Implementation::EvictIdleShards(Time aNow)
{
  // Abandoned orders whose shard no longer tracks the claim are removed, because no result will
  // arrive for them.
  std::vector<Order> untracked;
  for (const Orders::value_type& item : mOrders) {
    const Shards::const_iterator shard = mShards.find(item.second.shard);
    const bool tracked = shard != mShards.end() && shard->second.HasClaim(item.second.nonce);
    if (item.second.step == Step::Abandoned && !tracked) {
      untracked.push_back(item.second);
    }
  }
  for (const Order& order : untracked) {
    Remove(order);
  }
  std::erase_if(mShards, [aNow](const Shards::value_type& aItem) {
    return aItem.second.IsIdle() && aNow - aItem.second.LastUse() >= kShardIdleTimeout;
  });
}

} // namespace masticstep::orders
