#include "OrderWorld.hpp"

#include <algorithm>
#include <array>

namespace masticstep::orders {

using platform::ConditionalDelete;
using platform::ConditionalWrite;
using platform::PlatformReply;

namespace {

constexpr Duration kDeadline = Seconds(5);
const ServiceName kService{ "ordering" };

constexpr std::array<const char*, 16> kNames{
  "start",   "apply", "lose call",       "lose answer",    "time out",    "apply twice",
  "deliver", "run",   "lose before run", "lose after run", "not reached", "kill",
  "wait",    "tick",  "drop bucket",     "erase"
};

} // namespace

OrderWorld::OrderWorld(std::size_t aDaemons, std::vector<Attempt> aAttempts, FaultBudget aBudget,
                       PlantedFault::Faults aFaults, WallTime aWall)
  : mAttempts(std::move(aAttempts))
  , mFaults(aFaults)
  , mWall(aWall)
  , mBudget(aBudget)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    mMachines.push_back({ NewMachine(i, 0), 0 });
  }
}

OrderMachine OrderWorld::NewMachine(std::size_t aDaemon, std::uint32_t aIncarnation) const
{
  OrderOptions options;
  options.processNonce = "n" + std::to_string(aDaemon) + std::to_string(aIncarnation);
  options.daemon = HostName{ "d" };
  options.batchInterval = Duration{};
  options.claimTimeout = Seconds(3); // one clock step checks again, two give up
  OrderMachine machine(options);
  PlantedFault::Set(machine, mFaults);
  return machine;
}

std::vector<OrderWorld::Event> OrderWorld::Events() const
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
    add(EventKind::LoseCall, i, mBudget.losses > 0);
    add(EventKind::LoseAnswer, i, mBudget.losses > 0);
    add(EventKind::TimeOut, i, mBudget.losses > 0);
    add(EventKind::ApplyTwice, i, mBudget.duplicates > 0);
  }
  for (std::size_t i = 0; i < mReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    add(EventKind::Run, i);
    add(EventKind::LoseBeforeRun, i, mBudget.silences > 0);
    add(EventKind::LoseAfterRun, i, mBudget.silences > 0);
    add(EventKind::NotReached, i, mBudget.silences > 0);
  }
  for (std::size_t i = 0; i < mMachines.size(); ++i) {
    add(EventKind::Kill, i, mBudget.kills > 0);
    const std::optional<Time> next = mMachines[i].machine.NextWakeUp();
    add(EventKind::Tick, i, next && *next <= mNow);
  }
  add(EventKind::Wait, 0, mBudget.waits > 0);
  add(EventKind::Drop, 0, mBudget.drops > 0);
  for (std::size_t i = 0; i < BelowFloor().size(); ++i) {
    add(EventKind::Erase, i);
  }
  return events;
}

std::string OrderWorld::Describe(const Event& aEvent) const
{
  return std::string(kNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void OrderWorld::Apply(const Event& aEvent)
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
        Take(reply.daemon, machine.machine.OnPlatformReply(reply.reply, mNow));
      }
      break;
    }
    case EventKind::Run:
    case EventKind::LoseBeforeRun:
    case EventKind::LoseAfterRun:
    case EventKind::NotReached:
      RunBackend(aEvent);
      break;
    case EventKind::Kill:
      Kill(aEvent.index);
      break;
    case EventKind::Wait:
      --mBudget.waits;
      mNow += Seconds(2);
      break;
    case EventKind::Tick:
      Take(aEvent.index, mMachines[aEvent.index].machine.OnTime(mNow));
      break;
    case EventKind::Drop:
      AdvanceFloor();
      break;
    case EventKind::Erase: {
      const platform::ObjectKey key = BelowFloor()[aEvent.index];
      mPlatform.platform.Apply(
        { 0, ConditionalDelete{ key, mPlatform.platform.Find(key)->version } });
      break;
    }
    default:
      ApplyCall(aEvent);
  }
}

void OrderWorld::StartAttempt(std::size_t aIndex)
{
  const Attempt& attempt = mAttempts[aIndex];
  mStarted.insert(aIndex);
  Take(attempt.daemon, mMachines[attempt.daemon].machine.Start(
                         { RequestId{ aIndex }, kService, AccountName{ "a" }, attempt.key,
                           attempt.digest, mNow + kDeadline, mWall },
                         mNow));
}

void OrderWorld::ApplyCall(const Event& aEvent)
{
  const Call call = mCalls[aEvent.index];
  const bool stays = aEvent.kind == EventKind::TimeOut || aEvent.kind == EventKind::ApplyTwice;
  if (!stays) {
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aEvent.index));
  }
  PlatformReply reply;
  reply.number = call.request.number;
  if (aEvent.kind != EventKind::LoseCall && aEvent.kind != EventKind::TimeOut) {
    reply = mPlatform.platform.Apply(call.request);
  }
  mBudget.duplicates -= aEvent.kind == EventKind::ApplyTwice ? 1 : 0;
  if (aEvent.kind != EventKind::Apply && aEvent.kind != EventKind::ApplyTwice) {
    --mBudget.losses;
    reply = PlatformReply{};
    reply.number = call.request.number;
  }
  mReplies.push_back({ call.daemon, call.incarnation, reply });
}

void OrderWorld::RunBackend(const Event& aEvent)
{
  const Run run = mRuns[aEvent.index];
  mRuns.erase(mRuns.begin() + static_cast<std::ptrdiff_t>(aEvent.index));
  const std::string& key = mAttempts[run.attempt].key;
  BackendReply reply{ RequestId{ run.attempt }, BackendStatus::Unknown, 0, "", "" };
  if (aEvent.kind == EventKind::Run || aEvent.kind == EventKind::LoseAfterRun) {
    ++mExecutions[key];
  }
  if (aEvent.kind == EventKind::Run) {
    reply = { RequestId{ run.attempt }, BackendStatus::Responded, 200, "t", "done" };
  } else {
    --mBudget.silences;
  }
  if (aEvent.kind == EventKind::NotReached) {
    reply.status = BackendStatus::NotSent;
  }
  if (mExecutions[key] > 1) {
    Blame("key " + key + " ran twice");
  } else if (mExecutions[key] > 0 && mClosed.contains(key)) {
    Blame("key " + key + " ran after it was closed");
  }
  Machine& machine = mMachines[run.daemon];
  if (machine.incarnation == run.incarnation) {
    Take(run.daemon, machine.machine.OnBackendReply(reply, mNow));
  }
}

void OrderWorld::Kill(std::size_t aDaemon)
{
  --mBudget.kills;
  const std::uint32_t next = mMachines[aDaemon].incarnation + 1;
  mMachines[aDaemon] = { NewMachine(aDaemon, next), next };
}

void OrderWorld::AdvanceFloor()
{
  --mBudget.drops;
  const std::uint64_t floor = BucketOf(mWall) + 100;
  mPlatform.platform.Apply(
    { 0, ConditionalWrite{ FloorObjectOf(kService), std::nullopt, EncodeFloor(floor) } });
}

std::vector<platform::ObjectKey> OrderWorld::BelowFloor() const
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

void OrderWorld::Take(std::size_t aDaemon, OrderActions aActions)
{
  const std::uint32_t incarnation = mMachines[aDaemon].incarnation;
  for (platform::PlatformRequest& request : aActions.requests) {
    mCalls.push_back({ aDaemon, incarnation, std::move(request) });
  }
  for (const OrderDispatch& dispatch : aActions.dispatches) {
    const std::size_t attempt = dispatch.id.value;
    if (!mDispatched.insert(attempt).second) {
      Blame("one request was dispatched twice");
    }
    if (mNow >= dispatch.deadline) {
      Blame("a call was dispatched after its deadline");
    }
    mRuns.push_back({ aDaemon, incarnation, attempt });
  }
  for (const OrderResponse& answer : aActions.responses) {
    Check(answer);
  }
}

// Keeps the first violation: it names the cause, later ones may be its effects.
void OrderWorld::Blame(std::string aViolation)
{
  if (mViolation.empty()) {
    mViolation = std::move(aViolation);
  }
}

void OrderWorld::Check(const OrderResponse& aAnswer)
{
  const std::size_t attempt = aAnswer.id.value;
  const std::string& key = mAttempts[attempt].key;
  if (!mAnswered.emplace(attempt, aAnswer.kind).second) {
    Blame("a request was answered twice");
  }
  if (aAnswer.kind == ResponseKind::NotRun && mDispatched.contains(attempt) &&
      aAnswer.reason != ResponseReason::BackendUnreachable) {
    Blame("a dispatched request was answered 'not run'");
  }
  const bool closes = aAnswer.reason == ResponseReason::ClaimedButNotRun ||
                      aAnswer.reason == ResponseReason::BackendUnreachable;
  if (closes) {
    mClosed.insert(key);
  }
  if (closes && mExecutions[key] > 0) {
    Blame("'will never run' was said of key " + key + ", which ran");
  }
  if (aAnswer.kind == ResponseKind::Executed && mExecutions[key] != 1) {
    Blame("an answer was given for a call that ran " + std::to_string(mExecutions[key]) + " times");
  }
}

} // namespace masticstep::orders
