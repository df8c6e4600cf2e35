#include "masticstep/authority/EngineOrderStateMachine.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::authority {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;
using platform::ReadRequest;

EngineOrderStateMachine::EngineOrderStateMachine(EngineOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

EngineOrderActions EngineOrderStateMachine::Start(EngineOrder aOrder, const LeaseStatus& aLease,
                                                  Time aNow)
{
  mPending = std::move(aOrder);
  if (mFaults.sendsBeforeIntent) {
    mIntent = { *mPending, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
    mDeadline = aNow + mOptions.timeout;
    return Send(aLease, aNow);
  }
  // What was known under an earlier fencing number may have been changed by another holder.
  const bool current = mIsKnown && (!mSeen || mSeen->fencing == aLease.fencing);
  return current ? Proceed(aLease, aNow) : Read();
}

EngineOrderActions EngineOrderStateMachine::OnPlatformReply(const PlatformReply& aReply,
                                                            const LeaseStatus& aLease, Time aNow)
{
  const bool waits = mStep == Step::Read || mStep == Step::WriteIntent || mStep == Step::WriteDone;
  if (!waits || aReply.number != mNumber) {
    return {};
  }
  if (mStep == Step::Read) {
    return OnRead(aReply, aLease, aNow);
  }
  if (aReply.status == PlatformStatus::Done) {
    mVersion = aReply.version;
    mSeen = mIntent;
    mSeenAt = aNow;
    mIsKnown = true;
    return mStep == Step::WriteIntent ? Send(aLease, aNow) : OnDone(aLease, aNow);
  }
  mIsKnown = false;
  if (aReply.status == PlatformStatus::Conflict || aReply.status == PlatformStatus::Unknown) {
    return MayAct(aLease, aNow) ? Read() : Lose();
  }
  Wait(Step::Read, aNow + mOptions.poll);
  return {};
}

EngineOrderActions EngineOrderStateMachine::OnEngineReply(std::uint64_t aNumber, EngineReply aReply,
                                                          const LeaseStatus& aLease, Time aNow)
{
  if (mStep != Step::Engine || aNumber != mSends) {
    return {};
  }
  if (aReply == EngineReply::Unknown) {
    mQuietUntil = std::max(mQuietUntil, mDeadline);
  }
  if (!MayAct(aLease, aNow)) {
    return Lose();
  }
  if (aReply != EngineReply::Done) {
    Wait(Step::Send, aNow + mOptions.poll);
    return {};
  }
  mLate = mIntent.order.id;
  if (aNow < mQuietUntil) {
    Wait(Step::WaitQuiet, mQuietUntil);
    return {};
  }
  return Write(IntentState::Done, aNow);
}

EngineOrderActions EngineOrderStateMachine::OnTime(const LeaseStatus& aLease, Time aNow)
{
  if (!mWakeUp || aNow < *mWakeUp) {
    return {};
  }
  mWakeUp.reset();
  if (!MayAct(aLease, aNow)) {
    return Lose();
  }
  switch (mStep) {
    case Step::Read:
      return Read();
    case Step::WaitSettle:
      return Proceed(aLease, aNow);
    case Step::Send:
      return Send(aLease, aNow);
    case Step::WaitQuiet:
      return Write(IntentState::Done, aNow);
    default:
      return {};
  }
}

std::optional<Time> EngineOrderStateMachine::NextWakeUp() const
{
  return mWakeUp;
}

bool EngineOrderStateMachine::MayAct(const LeaseStatus& aLease, Time aNow) const
{
  return mFaults.doesNotCheckLease || IsLeaseValid(aLease, aNow);
}

void EngineOrderStateMachine::Wait(Step aStep, Time aUntil)
{
  mStep = aStep;
  mWakeUp = aUntil;
}

EngineOrderActions EngineOrderStateMachine::Read()
{
  mStep = Step::Read;
  mWakeUp.reset();
  EngineOrderActions actions;
  actions.request = PlatformRequest{ ++mNumber, ReadRequest{ IntentKey(mOptions.engine) } };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::Write(IntentState aState, Time aNow)
{
  mStep = aState == IntentState::Outstanding ? Step::WriteIntent : Step::WriteDone;
  if (aState == IntentState::Outstanding) {
    mDeadline = aNow + mOptions.timeout;
  }
  mIntent.state = aState;
  mIntent.nonce = mOptions.processNonce + "-" + std::to_string(++mWrites);
  EngineOrderActions actions;
  actions.request =
    PlatformRequest{ ++mNumber, ConditionalWrite{ IntentKey(mOptions.engine), mVersion,
                                                  EncodeIntent(mIntent) } };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::OnRead(const PlatformReply& aReply,
                                                   const LeaseStatus& aLease, Time aNow)
{
  if (!MayAct(aLease, aNow)) {
    return Lose();
  }
  std::optional<Intent> seen;
  if (aReply.status == PlatformStatus::Done) {
    seen = ParseIntent(aReply.body);
  }
  if (!seen && aReply.status != PlatformStatus::NotFound) {
    Wait(Step::Read, aNow + mOptions.poll);
    return {};
  }
  if (!mSeen || mVersion != aReply.version) {
    mSeenAt = aNow;
  }
  mSeen = std::move(seen);
  mVersion = aReply.version;
  mIsKnown = true;
  // The answer to the latest write was lost; the nonce tells that it took effect.
  if (mSeen && mSeen->nonce == mIntent.nonce && mSeen->fencing == aLease.fencing) {
    return mSeen->state == IntentState::Outstanding ? Send(aLease, aNow) : OnDone(aLease, aNow);
  }
  return Proceed(aLease, aNow);
}

// Decides what to write: an outstanding order is settled first, then the pending one follows.
EngineOrderActions EngineOrderStateMachine::Proceed(const LeaseStatus& aLease, Time aNow)
{
  const bool outstanding =
    mSeen && mSeen->state == IntentState::Outstanding && !mFaults.doesNotSettle;
  if (!outstanding) {
    mIntent = { *mPending, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
    return Write(IntentState::Outstanding, aNow);
  }
  // An engine that ignores fencing numbers would still obey the earlier holder until then.
  const Time settle = mSeenAt + mSeen->timeout;
  const bool foreign = mSeen->fencing != aLease.fencing;
  if (foreign && !mOptions.refusesOldFencing && aNow < settle && !mFaults.doesNotWaitForDeadline) {
    Wait(Step::WaitSettle, settle);
    return {};
  }
  mIntent = { mSeen->order, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
  if (mLate == mSeen->order.id && !foreign) {
    return Write(IntentState::Done, aNow);
  }
  return Write(IntentState::Outstanding, aNow);
}

EngineOrderActions EngineOrderStateMachine::Send(const LeaseStatus& aLease, Time aNow)
{
  if (!MayAct(aLease, aNow) || (mIntent.fencing != aLease.fencing && !mFaults.doesNotCheckLease)) {
    return Lose();
  }
  if (aNow >= mDeadline && !mFaults.doesNotCheckLease) {
    // A successor counts the time-out from the last version, so a later send needs a new one.
    return Write(IntentState::Outstanding, aNow);
  }
  mStep = Step::Engine;
  EngineOrderActions actions;
  actions.send = OrderTransmission{ ++mSends, mIntent.order, mIntent.fencing, mDeadline };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::OnDone(const LeaseStatus& aLease, Time aNow)
{
  if (mIntent.order.id == mPending->id) {
    mPending.reset();
    mStep = Step::Idle;
    EngineOrderActions actions;
    actions.result = EngineOrderResult::Done;
    return actions;
  }
  return MayAct(aLease, aNow) ? Proceed(aLease, aNow) : Lose();
}

EngineOrderActions EngineOrderStateMachine::Lose()
{
  mStep = Step::Idle;
  mWakeUp.reset();
  mIsKnown = false;
  EngineOrderActions actions;
  if (mPending) {
    mPending.reset();
    actions.result = EngineOrderResult::LeaseLost;
  }
  return actions;
}

} // namespace masticstep::authority
