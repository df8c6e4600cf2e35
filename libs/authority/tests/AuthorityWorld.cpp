#include "AuthorityWorld.hpp"

#include <array>
#include <utility>

namespace masticstep::authority {

using platform::PlatformReply;
using platform::PlatformRequest;

namespace {

constexpr Duration kLease = Seconds(10);
constexpr Duration kTimeout = Seconds(6);
constexpr Duration kStep = Seconds(5);

constexpr std::array<const char*, 13> kNames{
  "tick",    "start",         "apply",         "lose call", "lose answer", "time out", "deliver",
  "receive", "silent engine", "engine answer", "finish",    "kill",        "wait"
};

template <class T>
T TakeAt(std::vector<T>& aItems, std::size_t aIndex)
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

AuthorityWorld::AuthorityWorld(WorldOptions aOptions)
  : mOptions(aOptions)
  , mBudget{ aOptions.losses, aOptions.silences, aOptions.kills, aOptions.waits }
{
  mDaemons.push_back(NewDaemon(0, 0));
  mDaemons.push_back(NewDaemon(1, 0));
}

AuthorityWorld::Daemon AuthorityWorld::NewDaemon(std::size_t aIndex,
                                                 std::uint32_t aIncarnation) const
{
  const std::string nonce = "n" + std::to_string(aIndex) + std::to_string(aIncarnation);
  Daemon daemon{ LeaseManager(
                   { LeaseKey(DataCentreName{ "dc" }, "roles"), HostName{ nonce }, nonce, kLease }),
                 EngineOrderStateMachine(
                   { EngineId{ "e" }, mOptions.refusesOldFencing, nonce, kTimeout, Duration{} }),
                 aIncarnation, 0 };
  PlantedFault::Set(daemon.keeper, mOptions.leaseFaults);
  PlantedFault::Set(daemon.machine, mOptions.orderFaults);
  return daemon;
}

void AuthorityWorld::FinishCalls()
{
  while (!mCalls.empty() || !mReplies.empty()) {
    Apply({ mCalls.empty() ? EventKind::Deliver : EventKind::Apply, 0 });
  }
}

void AuthorityWorld::Prepare(bool aOrderSent)
{
  Apply({ EventKind::Tick, 0 });
  FinishCalls();
  Apply({ EventKind::Tick, 1 });
  FinishCalls();
  if (aOrderSent) {
    Apply({ EventKind::Start, 0 });
    FinishCalls();
  }
}

void AuthorityWorld::PrepareTakeover()
{
  Prepare(false);
  Apply({ EventKind::Wait, 0 });
  Apply({ EventKind::Start, 0 });
  FinishCalls();
  Apply({ EventKind::Wait, 0 });
  Apply({ EventKind::Tick, 1 });
  FinishCalls();
  Apply({ EventKind::Start, 1 });
  FinishCalls();
}

std::vector<AuthorityWorld::Event> AuthorityWorld::Events() const
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
        IsDue(daemon.keeper.NextWakeUp(), mNow) || IsDue(daemon.machine.NextWakeUp(), mNow));
    add(EventKind::Start, i,
        IsLeaseValid(daemon.keeper.Status(), mNow) && daemon.machine.IsIdle() &&
          daemon.orders == 0);
    add(EventKind::Kill, i, mBudget.kills > 0);
  }
  for (std::size_t i = 0; i < mCalls.size(); ++i) {
    add(EventKind::Apply, i);
    add(EventKind::LoseCall, i, mBudget.losses > 0);
    add(EventKind::LoseAnswer, i, mBudget.losses > 0);
    add(EventKind::TimeOut, i, mBudget.losses > 0);
  }
  for (std::size_t i = 0; i < mReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  for (std::size_t i = 0; i < mSends.size(); ++i) {
    add(EventKind::Receive, i);
    add(EventKind::SilentEngine, i, mBudget.silences > 0 && !mSends[i].isAnswered);
  }
  for (std::size_t i = 0; i < mAnswers.size(); ++i) {
    add(EventKind::EngineAnswer, i);
  }
  add(EventKind::Finish, 0, mEngine.isRunning);
  add(EventKind::Wait, 0, mBudget.waits > 0 && MayWait());
  return events;
}

// An engine that ignores fencing numbers is protected only if an order arrives before its intent's
// deadline, however long its sender was paused before. The window after it is excluded here and
// measured by the case authority_pause_window.
bool AuthorityWorld::MayWait() const
{
  if (mOptions.refusesOldFencing) {
    return true;
  }
  for (const Sent& sent : mSends) {
    if (mNow + kStep > sent.send.notAfter) {
      return false;
    }
  }
  return true;
}

std::string AuthorityWorld::Describe(const Event& aEvent) const
{
  return std::string(kNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void AuthorityWorld::Apply(const Event& aEvent)
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
      Take(i, daemon.machine.Start(order, daemon.keeper.Status(), mNow));
      break;
    }
    case EventKind::Deliver:
      Deliver(i);
      break;
    case EventKind::Receive:
      Receive(i);
      break;
    case EventKind::SilentEngine:
      --mBudget.silences;
      mSends[i].isAnswered = true;
      mAnswers.push_back({ mSends[i].from, mSends[i].send.number, EngineReply::Unknown });
      break;
    case EventKind::EngineAnswer:
      DeliverAnswer(i);
      break;
    case EventKind::Finish:
      mEngine.isRunning = false;
      break;
    case EventKind::Kill:
      --mBudget.kills;
      mDaemons[i] = NewDaemon(i, mDaemons[i].incarnation + 1);
      break;
    case EventKind::Wait:
      --mBudget.waits;
      mNow += kStep;
      break;
    default:
      ApplyCall(aEvent);
  }
  if (IsLeaseValid(mDaemons[0].keeper.Status(), mNow) &&
      IsLeaseValid(mDaemons[1].keeper.Status(), mNow)) {
    Blame("two daemons hold the lease");
  }
}

void AuthorityWorld::Tick(std::size_t aIndex)
{
  Daemon& daemon = mDaemons[aIndex];
  if (IsDue(daemon.keeper.NextWakeUp(), mNow)) {
    Take(aIndex, daemon.keeper.OnTime(mNow));
    return;
  }
  Take(aIndex, daemon.machine.OnTime(daemon.keeper.Status(), mNow));
}

void AuthorityWorld::Take(std::size_t aIndex, std::optional<PlatformRequest> aRequest)
{
  if (aRequest) {
    mCalls.push_back({ { aIndex, mDaemons[aIndex].incarnation, true }, std::move(*aRequest) });
  }
}

void AuthorityWorld::Take(std::size_t aIndex, EngineOrderActions aActions)
{
  const Address from{ aIndex, mDaemons[aIndex].incarnation, false };
  if (aActions.request) {
    mCalls.push_back({ from, std::move(*aActions.request) });
  }
  if (aActions.send) {
    mSends.push_back({ from, std::move(*aActions.send), false });
  }
}

void AuthorityWorld::ApplyCall(const Event& aEvent)
{
  const Call call =
    aEvent.kind == EventKind::TimeOut ? mCalls[aEvent.index] : TakeAt(mCalls, aEvent.index);
  PlatformReply reply;
  if (aEvent.kind == EventKind::Apply || aEvent.kind == EventKind::LoseAnswer) {
    reply = mPlatform.platform.Apply(call.request);
  }
  if (aEvent.kind != EventKind::Apply) {
    --mBudget.losses;
    reply = PlatformReply{};
  }
  reply.number = call.request.number;
  mReplies.push_back({ call.from, std::move(reply) });
}

void AuthorityWorld::Deliver(std::size_t aIndex)
{
  const Reply reply = TakeAt(mReplies, aIndex);
  if (!IsCurrent(reply.to)) {
    return;
  }
  Daemon& daemon = mDaemons[reply.to.daemon];
  if (reply.to.isLease) {
    Take(reply.to.daemon, daemon.keeper.OnPlatformReply(reply.reply, mNow));
  } else {
    Take(reply.to.daemon,
         daemon.machine.OnPlatformReply(reply.reply, daemon.keeper.Status(), mNow));
  }
}

void AuthorityWorld::Receive(std::size_t aIndex)
{
  const Sent sent = TakeAt(mSends, aIndex);
  const EngineReply reply = Accept(sent.send);
  if (!sent.isAnswered) {
    mAnswers.push_back({ sent.from, sent.send.number, reply });
  }
}

// An engine as the design describes it: it knows the id of the last order and, if it checks them,
// the newest fencing number. It accepts conflicting orders, which is what must never happen.
EngineReply AuthorityWorld::Accept(const OrderTransmission& aSend)
{
  if (mOptions.refusesOldFencing && aSend.fencing < mEngine.fencing) {
    return EngineReply::Refused;
  }
  if (aSend.order.id == mEngine.last) {
    mEngine.fencing = std::max(mEngine.fencing, aSend.fencing);
    return mEngine.isRunning ? EngineReply::Running : EngineReply::Done;
  }
  if (aSend.fencing < mEngine.fencing) {
    Blame("an order of a fenced holder took effect");
  }
  if (mEngine.isRunning) {
    Blame("the engine holds conflicting orders");
  }
  if (!mEngine.executed.insert(aSend.order.id).second) {
    Blame("an order took effect again after another one");
  }
  mEngine.fencing = std::max(mEngine.fencing, aSend.fencing);
  mEngine.last = aSend.order.id;
  mEngine.isRunning = true;
  return EngineReply::Running;
}

void AuthorityWorld::DeliverAnswer(std::size_t aIndex)
{
  const Answer answer = TakeAt(mAnswers, aIndex);
  if (!IsCurrent(answer.to)) {
    return;
  }
  Daemon& daemon = mDaemons[answer.to.daemon];
  Take(answer.to.daemon,
       daemon.machine.OnEngineReply(answer.number, answer.reply, daemon.keeper.Status(), mNow));
}

bool AuthorityWorld::IsCurrent(const Address& aAddress) const
{
  return mDaemons[aAddress.daemon].incarnation == aAddress.incarnation;
}

void AuthorityWorld::Blame(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}

} // namespace masticstep::authority
