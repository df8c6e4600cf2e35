#include "OrderSimulation.hpp"

#include <algorithm>
#include <array>

namespace masticstep::orders {

using platform::ConditionalDelete;
using platform::ConditionalWrite;
using platform::PlatformReply;

namespace {

constexpr Duration kDeadline = Seconds(5);
const ServiceName kService{ "ordering" };

constexpr std::array<const char*, 16> kEventNames{ "start",
                                                   "apply",
                                                   "lose request",
                                                   "lose reply",
                                                   "time out",
                                                   "duplicate",
                                                   "deliver",
                                                   "execute",
                                                   "lose before execution",
                                                   "lose after execution",
                                                   "fail connection",
                                                   "crash",
                                                   "advance clock",
                                                   "tick",
                                                   "advance floor",
                                                   "delete expired" };

} // namespace

OrderSimulation::OrderSimulation(std::size_t aDaemons, std::vector<Attempt> aAttempts,
                                 FaultBudget aBudget, FaultInjector::Faults aFaults,
                                 WallTime aWallTime)
  : mAttempts(std::move(aAttempts))
  , mInjectedFaults(aFaults)
  , mWallTime(aWallTime)
  , mBudget(aBudget)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    mMachines.push_back({ NewMachine(i, 0), 0 });
  }
}

OrderMachine OrderSimulation::NewMachine(std::size_t aDaemon, std::uint32_t aIncarnation) const
{
  OrderOptions options;
  options.processNonce = "n" + std::to_string(aDaemon) + std::to_string(aIncarnation);
  options.daemon = HostName{ "d" };
  options.batchInterval = Duration{};
  options.claimTimeout = Seconds(3); // one clock advance causes a poll, two a timeout
  OrderMachine machine(options);
  FaultInjector::Set(machine, mInjectedFaults);
  return machine;
}

std::vector<OrderSimulation::Event> OrderSimulation::Events() const
{
  std::vector<Event> events;
  const auto add = [&events](EventKind aKind, std::size_t aIndex, bool aEnabled = true) {
    if (aEnabled) {
      events.push_back({ aKind, aIndex });
    }
  };
  for (std::size_t i = 0; i < mAttempts.size(); ++i) {
    add(EventKind::Start, i, !mStarted.contains(i));
  }
  for (std::size_t i = 0; i < mCalls.size(); ++i) {
    add(EventKind::Apply, i);
    add(EventKind::LoseRequest, i, mBudget.lostMessages > 0);
    add(EventKind::LoseReply, i, mBudget.lostMessages > 0);
    add(EventKind::TimeOut, i, mBudget.lostMessages > 0);
    add(EventKind::Duplicate, i, mBudget.duplicates > 0);
  }
  for (std::size_t i = 0; i < mReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  for (std::size_t i = 0; i < mPendingExecutions.size(); ++i) {
    add(EventKind::Execute, i);
    add(EventKind::LoseBeforeExecution, i, mBudget.backendFailures > 0);
    add(EventKind::LoseAfterExecution, i, mBudget.backendFailures > 0);
    add(EventKind::FailConnection, i, mBudget.backendFailures > 0);
  }
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    add(EventKind::Crash, i, mBudget.crashes > 0);
    const std::optional<Time> next = mMachines[i].machine.NextWakeUp();
    add(EventKind::Tick, i, next && *next <= mNow);
  }
  add(EventKind::AdvanceClock, 0, mBudget.clockAdvances > 0);
  add(EventKind::AdvanceFloor, 0, mBudget.floorAdvances > 0);
  for (std::size_t i = 0; i < BelowFloor().size(); ++i) {
    add(EventKind::DeleteExpired, i);
  }
  return events;
}

std::string OrderSimulation::Describe(const Event& aEvent) const
{
  return std::string(kEventNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void OrderSimulation::Apply(const Event& aEvent)
{
  switch (aEvent.kind) {
    case EventKind::Start:
      StartAttempt(aEvent.index);
      break;
    case EventKind::Deliver: {
      const Reply reply = mReplies[aEvent.index];
      mReplies.erase(mReplies.begin() + static_cast<std::ptrdiff_t>(aEvent.index));
      Machine& machine = mMachines[reply.daemon];
      if (machine.incarnation == reply.incarnation) {
        HandleActions(reply.daemon, machine.machine.OnPlatformReply(reply.reply, mNow));
      }
      break;
    }
    case EventKind::Execute:
    case EventKind::LoseBeforeExecution:
    case EventKind::LoseAfterExecution:
    case EventKind::FailConnection:
      RunBackend(aEvent);
      break;
    case EventKind::Crash:
      Crash(aEvent.index);
      break;
    case EventKind::AdvanceClock:
      --mBudget.clockAdvances;
      mNow += Seconds(2);
      break;
    case EventKind::Tick:
      HandleActions(aEvent.index, mMachines[aEvent.index].machine.OnTime(mNow));
      break;
    case EventKind::AdvanceFloor:
      AdvanceFloor();
      break;
    case EventKind::DeleteExpired: {
      const platform::ObjectKey key = BelowFloor()[aEvent.index];
      mPlatform.platform.Apply(
        { 0, ConditionalDelete{ key, mPlatform.platform.Find(key)->version } });
      break;
    }
    default:
      ApplyCall(aEvent);
  }
}

void OrderSimulation::StartAttempt(std::size_t aIndex)
{
  const Attempt& attempt = mAttempts[aIndex];
  mStarted.insert(aIndex);
  HandleActions(attempt.daemon, mMachines[attempt.daemon].machine.Start(
                                  { RequestId{ aIndex }, kService, AccountName{ "a" }, attempt.key,
                                    attempt.digest, mNow + kDeadline, mWallTime },
                                  mNow));
}

void OrderSimulation::ApplyCall(const Event& aEvent)
{
  const Call call = mCalls[aEvent.index];
  const bool remainsInTransit =
    aEvent.kind == EventKind::TimeOut || aEvent.kind == EventKind::Duplicate;
  if (!remainsInTransit) {
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aEvent.index));
  }
  PlatformReply reply;
  reply.number = call.request.number;
  if (aEvent.kind != EventKind::LoseRequest && aEvent.kind != EventKind::TimeOut) {
    reply = mPlatform.platform.Apply(call.request);
  }
  mBudget.duplicates -= aEvent.kind == EventKind::Duplicate ? 1 : 0;
  if (aEvent.kind != EventKind::Apply && aEvent.kind != EventKind::Duplicate) {
    --mBudget.lostMessages;
    reply = PlatformReply{};
    reply.number = call.request.number;
  }
  mReplies.push_back({ call.daemon, call.incarnation, reply });
}

void OrderSimulation::RunBackend(const Event& aEvent)
{
  const Execution execution = mPendingExecutions[aEvent.index];
  mPendingExecutions.erase(mPendingExecutions.begin() + static_cast<std::ptrdiff_t>(aEvent.index));
  const std::string& key = mAttempts[execution.attempt].key;
  BackendReply reply{ RequestId{ execution.attempt }, BackendStatus::Unknown, 0, "", "" };
  if (aEvent.kind == EventKind::Execute || aEvent.kind == EventKind::LoseAfterExecution) {
    ++mExecutions[key];
  }
  if (aEvent.kind == EventKind::Execute) {
    reply = { RequestId{ execution.attempt }, BackendStatus::Responded, 200, "t", "done" };
  } else {
    --mBudget.backendFailures;
  }
  if (aEvent.kind == EventKind::FailConnection) {
    reply.status = BackendStatus::NotSent;
  }
  if (mExecutions[key] > 1) {
    ReportViolation("key " + key + " was executed twice");
  } else if (mExecutions[key] > 0 && mReportedNotRun.contains(key)) {
    ReportViolation("key " + key + " was executed after it was reported as never executed");
  }
  Machine& machine = mMachines[execution.daemon];
  if (machine.incarnation == execution.incarnation) {
    HandleActions(execution.daemon, machine.machine.OnBackendReply(reply, mNow));
  }
}

void OrderSimulation::Crash(std::size_t aDaemon)
{
  --mBudget.crashes;
  const std::uint32_t next = mMachines[aDaemon].incarnation + 1;
  mMachines[aDaemon] = { NewMachine(aDaemon, next), next };
}

void OrderSimulation::AdvanceFloor()
{
  --mBudget.floorAdvances;
  const std::uint64_t floor = BucketOf(mWallTime) + 100;
  mPlatform.platform.Apply(
    { 0, ConditionalWrite{ FloorObjectOf(kService), std::nullopt, EncodeFloor(floor) } });
}

std::vector<platform::ObjectKey> OrderSimulation::BelowFloor() const
{
  std::vector<platform::ObjectKey> keys;
  if (mPlatform.platform.Find(FloorObjectOf(kService)) == nullptr) {
    return keys;
  }
  for (const platform::InMemoryPlatform::Objects::value_type& item : mPlatform.platform.All()) {
    if (item.first != FloorObjectOf(kService)) {
      keys.push_back(item.first);
    }
  }
  return keys;
}

void OrderSimulation::HandleActions(std::size_t aDaemon, OrderActions aActions)
{
  const std::uint32_t incarnation = mMachines[aDaemon].incarnation;
  for (platform::PlatformRequest& request : aActions.requests) {
    mCalls.push_back({ aDaemon, incarnation, std::move(request) });
  }
  for (const OrderDispatch& dispatch : aActions.dispatches) {
    const std::size_t attempt = dispatch.id.value;
    if (!mDispatched.insert(attempt).second) {
      ReportViolation("a request was dispatched twice");
    }
    if (mNow >= dispatch.deadline) {
      ReportViolation("a call was dispatched after its deadline");
    }
    mPendingExecutions.push_back({ aDaemon, incarnation, attempt });
  }
  for (const OrderResponse& response : aActions.responses) {
    CheckResponse(response);
  }
}

// Keeps only the first violation; later ones may be its consequences.
void OrderSimulation::ReportViolation(std::string aViolation)
{
  if (mViolation.empty()) {
    mViolation = std::move(aViolation);
  }
}

void OrderSimulation::CheckResponse(const OrderResponse& aResponse)
{
  const std::size_t attempt = aResponse.id.value;
  const std::string& key = mAttempts[attempt].key;
  if (!mResponses.emplace(attempt, aResponse.kind).second) {
    ReportViolation("a request received two responses");
  }
  if (aResponse.kind == ResponseKind::NotRun && mDispatched.contains(attempt) &&
      aResponse.reason != ResponseReason::BackendUnreachable) {
    ReportViolation("a dispatched request was reported as not run");
  }
  const bool reportsNeverRun = aResponse.reason == ResponseReason::ClaimedButNotRun ||
                               aResponse.reason == ResponseReason::BackendUnreachable;
  if (reportsNeverRun) {
    mReportedNotRun.insert(key);
  }
  if (reportsNeverRun && mExecutions[key] > 0) {
    ReportViolation("key " + key + " was executed, but reported as never executed");
  }
  if (aResponse.kind == ResponseKind::Executed && mExecutions[key] != 1) {
    ReportViolation("a response was returned for a call that was executed " +
                    std::to_string(mExecutions[key]) + " times");
  }
}

} // namespace masticstep::orders
