#include "AuthorityModel.hpp"

#include <array>
#include <utility>

namespace masticstep::authority {

using platform::PlatformReply;
using platform::PlatformRequest;

namespace {

constexpr Duration kLeaseDuration = Seconds(10);
constexpr Duration kIntentTimeout = Seconds(6);
constexpr Duration kClockStep = Seconds(5);

constexpr std::array<const char*, 15> kEventNames{ "tick",          "start",       "apply",
                                                   "lose call",     "lose answer", "time out",
                                                   "deliver",       "receive",     "silent engine",
                                                   "engine answer", "finish",      "kill",
                                                   "wait",          "copy",        "restore" };

template <class T>
T RemoveAt(std::vector<T>& aItems, std::size_t aIndex)
{
  T item = std::move(aItems[aIndex]);
  aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return item;
}

bool IsDue(std::optional<Time> aTime, Time aNow)
{
  return aTime && *aTime <= aNow;
}

} // namespace

AuthorityModel::AuthorityModel(ModelOptions aOptions)
  : mOptions(aOptions)
  , mBudget{ aOptions.losses,     aOptions.unansweredSends, aOptions.crashes,
             aOptions.clockSteps, aOptions.restores,        aOptions.restores }
{
  mDaemons.push_back(NewDaemon(0, 0));
  mDaemons.push_back(NewDaemon(1, 0));
}

AuthorityModel::Daemon AuthorityModel::NewDaemon(std::size_t aIndex,
                                                 std::uint32_t aIncarnation) const
{
  const std::string nonce = "n" + std::to_string(aIndex) + std::to_string(aIncarnation);
  Daemon daemon{ LeaseManager({ LeaseKey(DataCentreName{ "dc" }, "roles"), HostName{ nonce }, nonce,
                                kLeaseDuration, aIncarnation > 0 }),
                 EngineOrderStateMachine({ EngineId{ "e" }, mOptions.refusesOldFencing, nonce,
                                           kIntentTimeout, Duration{} }),
                 aIncarnation, 0 };
  PlantedFault::Set(daemon.leaseManager, mOptions.leaseFaults);
  PlantedFault::Set(daemon.stateMachine, mOptions.orderFaults);
  return daemon;
}

void AuthorityModel::CompletePlatformRequests()
{
  while (!mPendingRequests.empty() || !mPendingReplies.empty()) {
    Apply({ mPendingRequests.empty() ? EventKind::Deliver : EventKind::Apply, 0 });
  }
}

void AuthorityModel::Prepare(bool aOrderSent)
{
  Apply({ EventKind::Tick, 0 });
  CompletePlatformRequests();
  Apply({ EventKind::Tick, 1 });
  CompletePlatformRequests();
  if (aOrderSent) {
    Apply({ EventKind::Start, 0 });
    CompletePlatformRequests();
  }
}

void AuthorityModel::PrepareTakeover()
{
  Prepare(false);
  Apply({ EventKind::AdvanceClock, 0 });
  Apply({ EventKind::Start, 0 });
  CompletePlatformRequests();
  Apply({ EventKind::AdvanceClock, 0 });
  Apply({ EventKind::Tick, 1 });
  CompletePlatformRequests();
  Apply({ EventKind::Start, 1 });
  CompletePlatformRequests();
}

std::vector<AuthorityModel::Event> AuthorityModel::Events() const
{
  std::vector<Event> events;
  const auto add = [&events](EventKind aKind, std::size_t aIndex, bool aEnabled = true) {
    if (aEnabled) {
      events.push_back({ aKind, aIndex });
    }
  };
  for (std::size_t i = 0; i < mDaemons.size(); ++i) {
    const Daemon& daemon = mDaemons[i];
    add(EventKind::Tick, i,
        IsDue(daemon.leaseManager.NextWakeUp(), mNow) ||
          IsDue(daemon.stateMachine.NextWakeUp(), mNow));
    add(EventKind::Start, i,
        IsLeaseValid(daemon.leaseManager.Status(), mNow) && daemon.stateMachine.IsIdle() &&
          daemon.orders == 0);
    add(EventKind::Crash, i, mBudget.crashes > 0);
  }
  for (std::size_t i = 0; i < mPendingRequests.size(); ++i) {
    add(EventKind::Apply, i);
    add(EventKind::LoseRequest, i, mBudget.losses > 0);
    add(EventKind::LoseReply, i, mBudget.losses > 0);
    add(EventKind::TimeOut, i, mBudget.losses > 0);
  }
  for (std::size_t i = 0; i < mPendingReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  for (std::size_t i = 0; i < mInFlightOrders.size(); ++i) {
    add(EventKind::Receive, i);
    add(EventKind::SilentEngine, i, mBudget.unansweredSends > 0 && !mInFlightOrders[i].hasTimedOut);
  }
  for (std::size_t i = 0; i < mPendingEngineReplies.size(); ++i) {
    add(EventKind::EngineAnswer, i);
  }
  add(EventKind::FinishOrder, 0, mEngine.isRunning);
  add(EventKind::AdvanceClock, 0, mBudget.clockSteps > 0 && MayAdvanceClock());
  add(EventKind::KeepCopy, 0, mBudget.copies > 0);
  add(EventKind::Restore, 0, mBudget.restores > 0);
  return events;
}

// An engine that ignores fencing tokens is protected only if an order arrives before the deadline
// of its intent, however long the sender was paused before. The window after the deadline is
// excluded here and measured by the benchmark case authority_pause_window.
bool AuthorityModel::MayAdvanceClock() const
{
  if (mOptions.refusesOldFencing) {
    return true;
  }
  for (const InFlightOrder& sent : mInFlightOrders) {
    if (mNow + kClockStep > sent.send.notAfter) {
      return false;
    }
  }
  return true;
}

std::string AuthorityModel::Describe(const Event& aEvent) const
{
  return std::string(kEventNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void AuthorityModel::Apply(const Event& aEvent)
{
  const std::size_t i = aEvent.index;
  switch (aEvent.kind) {
    case EventKind::Tick:
      Tick(i);
      break;
    case EventKind::Start: {
      Daemon& daemon = mDaemons[i];
      ++daemon.orders;
      const EngineOrder order{ "o" + std::to_string(i) + std::to_string(daemon.incarnation),
                               "set_role", std::to_string(i) };
      Enqueue(i, daemon.stateMachine.Start(order, daemon.leaseManager.Status(), mNow));
      break;
    }
    case EventKind::Deliver:
      Deliver(i);
      break;
    case EventKind::Receive:
      Receive(i);
      break;
    case EventKind::SilentEngine:
      --mBudget.unansweredSends;
      mInFlightOrders[i].hasTimedOut = true;
      mPendingEngineReplies.push_back(
        { mInFlightOrders[i].from, mInFlightOrders[i].send.number, EngineReply::Unknown });
      break;
    case EventKind::EngineAnswer:
      DeliverEngineReply(i);
      break;
    case EventKind::FinishOrder:
      mEngine.isRunning = false;
      break;
    case EventKind::Crash:
      --mBudget.crashes;
      mDaemons[i] = NewDaemon(i, mDaemons[i].incarnation + 1);
      break;
    case EventKind::AdvanceClock:
      --mBudget.clockSteps;
      mNow += kClockStep;
      break;
    case EventKind::KeepCopy:
      --mBudget.copies;
      mCopy = mPlatform;
      break;
    case EventKind::Restore:
      --mBudget.restores;
      mPlatform.platform.RestoreFrom(mCopy.platform);
      break;
    default:
      ApplyPlatformEvent(aEvent);
  }
  if (IsLeaseValid(mDaemons[0].leaseManager.Status(), mNow) &&
      IsLeaseValid(mDaemons[1].leaseManager.Status(), mNow)) {
    RecordViolation("two daemons hold the lease");
  }
}

void AuthorityModel::Tick(std::size_t aIndex)
{
  Daemon& daemon = mDaemons[aIndex];
  if (IsDue(daemon.leaseManager.NextWakeUp(), mNow)) {
    Enqueue(aIndex, daemon.leaseManager.OnTime(mNow));
    return;
  }
  Enqueue(aIndex, daemon.stateMachine.OnTime(daemon.leaseManager.Status(), mNow));
}

void AuthorityModel::Enqueue(std::size_t aIndex, std::optional<PlatformRequest> aRequest)
{
  if (aRequest) {
    mPendingRequests.push_back(
      { { aIndex, mDaemons[aIndex].incarnation, true }, std::move(*aRequest) });
  }
}

void AuthorityModel::Enqueue(std::size_t aIndex, EngineOrderActions aActions)
{
  const Address from{ aIndex, mDaemons[aIndex].incarnation, false };
  if (aActions.request) {
    mPendingRequests.push_back({ from, std::move(*aActions.request) });
  }
  if (aActions.send) {
    mInFlightOrders.push_back({ from, std::move(*aActions.send), false });
  }
}

void AuthorityModel::ApplyPlatformEvent(const Event& aEvent)
{
  const PendingRequest call = aEvent.kind == EventKind::TimeOut
                                ? mPendingRequests[aEvent.index]
                                : RemoveAt(mPendingRequests, aEvent.index);
  PlatformReply reply;
  if (aEvent.kind == EventKind::Apply || aEvent.kind == EventKind::LoseReply) {
    reply = mPlatform.platform.Apply(call.request);
  }
  if (aEvent.kind != EventKind::Apply) {
    --mBudget.losses;
    reply = PlatformReply{};
  }
  reply.number = call.request.number;
  mPendingReplies.push_back({ call.from, std::move(reply) });
}

void AuthorityModel::Deliver(std::size_t aIndex)
{
  const PendingReply reply = RemoveAt(mPendingReplies, aIndex);
  if (!IsCurrent(reply.to)) {
    return;
  }
  Daemon& daemon = mDaemons[reply.to.daemon];
  if (reply.to.isLease) {
    Enqueue(reply.to.daemon, daemon.leaseManager.OnPlatformReply(reply.reply, mNow));
  } else {
    Enqueue(reply.to.daemon,
            daemon.stateMachine.OnPlatformReply(reply.reply, daemon.leaseManager.Status(), mNow));
  }
}

void AuthorityModel::Receive(std::size_t aIndex)
{
  const InFlightOrder sent = RemoveAt(mInFlightOrders, aIndex);
  const EngineReply reply = Accept(sent.send);
  if (!sent.hasTimedOut) {
    mPendingEngineReplies.push_back({ sent.from, sent.send.number, reply });
  }
}

// Engine of the design: it stores the id of the last order and, if it checks them, the highest
// fencing token. It accepts conflicting orders, so that the model can record them as violations.
EngineReply AuthorityModel::Accept(const OrderTransmission& aTransmission)
{
  if (mOptions.refusesOldFencing && aTransmission.fencing < mEngine.fencing) {
    return EngineReply::Refused;
  }
  if (aTransmission.order.id == mEngine.lastOrderId) {
    mEngine.fencing = std::max(mEngine.fencing, aTransmission.fencing);
    return mEngine.isRunning ? EngineReply::Running : EngineReply::Done;
  }
  if (aTransmission.fencing < mEngine.fencing) {
    RecordViolation("an order of a fenced holder took effect");
  }
  if (mEngine.isRunning && mOptions.refusesWhileRunning) {
    return EngineReply::Refused;
  }
  if (mEngine.isRunning) {
    RecordViolation("the engine holds conflicting orders");
  }
  if (!mEngine.executed.insert(aTransmission.order.id).second) {
    RecordViolation("an order took effect again after another one");
  }
  mEngine.fencing = std::max(mEngine.fencing, aTransmission.fencing);
  mEngine.lastOrderId = aTransmission.order.id;
  mEngine.isRunning = true;
  return EngineReply::Running;
}

void AuthorityModel::DeliverEngineReply(std::size_t aIndex)
{
  const PendingEngineReply answer = RemoveAt(mPendingEngineReplies, aIndex);
  if (!IsCurrent(answer.to)) {
    return;
  }
  Daemon& daemon = mDaemons[answer.to.daemon];
  Enqueue(answer.to.daemon, daemon.stateMachine.OnEngineReply(answer.number, answer.reply,
                                                              daemon.leaseManager.Status(), mNow));
}

bool AuthorityModel::IsCurrent(const Address& aAddress) const
{
  return mDaemons[aAddress.daemon].incarnation == aAddress.incarnation;
}

void AuthorityModel::RecordViolation(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}

} // namespace masticstep::authority
