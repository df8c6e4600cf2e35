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
  mRequestedOrder = std::move(aOrder);
  if (mFaults.sendsBeforeIntent) {
    mIntent = { *mRequestedOrder, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
    mDeadline = aNow + mOptions.timeout;
    return SendOrder(aLease, aNow);
  }
  // An intent of an earlier fencing token may have been changed by another holder.
  const bool isCurrent =
    mIsVersionCurrent && (!mStoredIntent || mStoredIntent->fencing == aLease.fencing);
  return isCurrent ? WriteNextIntent(aLease, aNow) : ReadIntent();
}

EngineOrderActions EngineOrderStateMachine::OnPlatformReply(const PlatformReply& aReply,
                                                            const LeaseStatus& aLease, Time aNow)
{
  const bool expectsReply =
    mStep == Step::Reading || mStep == Step::WritingIntent || mStep == Step::WritingDone;
  if (!expectsReply || aReply.number != mRequestNumber) {
    return {};
  }
  if (mStep == Step::Reading) {
    return OnRead(aReply, aLease, aNow);
  }
  if (aReply.status == PlatformStatus::Done) {
    mVersion = aReply.version;
    mStoredIntent = mIntent;
    mVersionObservedAt = aNow;
    mIsVersionCurrent = true;
    return mStep == Step::WritingIntent ? SendOrder(aLease, aNow) : OnDone(aLease, aNow);
  }
  mIsVersionCurrent = false;
  if (aReply.status == PlatformStatus::Conflict || aReply.status == PlatformStatus::Unknown) {
    return MayAct(aLease, aNow) ? ReadIntent() : AbandonOrder();
  }
  WaitUntil(Step::Reading, aNow + mOptions.pollInterval);
  return {};
}

EngineOrderActions EngineOrderStateMachine::OnEngineReply(std::uint64_t aNumber, EngineReply aReply,
                                                          const LeaseStatus& aLease, Time aNow)
{
  if (mStep != Step::AwaitingReply || aNumber != mSendNumber) {
    return {};
  }
  if (aReply == EngineReply::Unknown) {
    mCopiesUntil = std::max(mCopiesUntil, mDeadline);
  }
  if (!MayAct(aLease, aNow)) {
    return AbandonOrder();
  }
  if (aReply != EngineReply::Done) {
    WaitUntil(Step::AwaitingResend, aNow + mOptions.pollInterval);
    return {};
  }
  mConfirmedOrderId = mIntent.order.id;
  if (aNow < mCopiesUntil) {
    WaitUntil(Step::AwaitingCopies, mCopiesUntil);
    return {};
  }
  return WriteIntent(IntentState::Done, aNow);
}

EngineOrderActions EngineOrderStateMachine::OnTime(const LeaseStatus& aLease, Time aNow)
{
  if (!mWakeUp || aNow < *mWakeUp) {
    return {};
  }
  mWakeUp.reset();
  if (!MayAct(aLease, aNow)) {
    return AbandonOrder();
  }
  switch (mStep) {
    case Step::Reading:
      return ReadIntent();
    case Step::AwaitingIntentDeadline:
      return WriteNextIntent(aLease, aNow);
    case Step::AwaitingResend:
      return SendOrder(aLease, aNow);
    case Step::AwaitingCopies:
      return WriteIntent(IntentState::Done, aNow);
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
  return mFaults.skipsLeaseCheck || IsLeaseValid(aLease, aNow);
}

bool EngineOrderStateMachine::IsOfEarlierEra() const
{
  return mStoredIntent && mVersion && mStoredIntent->fencing <= FencingBeforeEra(mVersion->era);
}

void EngineOrderStateMachine::WaitUntil(Step aStep, Time aUntil)
{
  mStep = aStep;
  mWakeUp = aUntil;
}

EngineOrderActions EngineOrderStateMachine::ReadIntent()
{
  mStep = Step::Reading;
  mWakeUp.reset();
  EngineOrderActions actions;
  actions.request = PlatformRequest{ ++mRequestNumber, ReadRequest{ IntentKey(mOptions.engine) } };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::WriteIntent(IntentState aState, Time aNow)
{
  mStep = aState == IntentState::Outstanding ? Step::WritingIntent : Step::WritingDone;
  if (aState == IntentState::Outstanding) {
    mDeadline = aNow + mOptions.timeout;
  }
  mIntent.state = aState;
  mIntent.nonce = mOptions.processNonce + "-" + std::to_string(++mWriteCount);
  EngineOrderActions actions;
  actions.request =
    PlatformRequest{ ++mRequestNumber, ConditionalWrite{ IntentKey(mOptions.engine), mVersion,
                                                         EncodeIntent(mIntent) } };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::OnRead(const PlatformReply& aReply,
                                                   const LeaseStatus& aLease, Time aNow)
{
  if (!MayAct(aLease, aNow)) {
    return AbandonOrder();
  }
  std::optional<Intent> intent;
  if (aReply.status == PlatformStatus::Done) {
    intent = ParseIntent(aReply.body);
  }
  if (!intent && aReply.status != PlatformStatus::NotFound) {
    WaitUntil(Step::Reading, aNow + mOptions.pollInterval);
    return {};
  }
  if (!mStoredIntent || mVersion != aReply.version) {
    mVersionObservedAt = aNow;
  }
  mStoredIntent = std::move(intent);
  mVersion = aReply.version;
  mIsVersionCurrent = true;
  // The reply to the latest write was lost; the nonce shows that the write took effect.
  if (mStoredIntent && mStoredIntent->nonce == mIntent.nonce &&
      mStoredIntent->fencing == aLease.fencing) {
    return mStoredIntent->state == IntentState::Outstanding ? SendOrder(aLease, aNow)
                                                            : OnDone(aLease, aNow);
  }
  return WriteNextIntent(aLease, aNow);
}

// Writes the intent of an outstanding order if there is one, else that of the requested order.
EngineOrderActions EngineOrderStateMachine::WriteNextIntent(const LeaseStatus& aLease, Time aNow)
{
  const bool isOutstanding = mStoredIntent && mStoredIntent->state == IntentState::Outstanding &&
                             !mFaults.ignoresOutstandingIntent;
  if (!isOutstanding) {
    mIntent = { *mRequestedOrder, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
    return WriteIntent(IntentState::Outstanding, aNow);
  }
  // Until then the earlier holder's order may arrive, and an engine that does not check fencing
  // tokens would execute it.
  const Time intentDeadline = mVersionObservedAt + mStoredIntent->timeout;
  const bool isForeign = mStoredIntent->fencing != aLease.fencing;
  if (isForeign && !mOptions.refusesOldFencing && aNow < intentDeadline &&
      !mFaults.skipsDeadlineWait) {
    WaitUntil(Step::AwaitingIntentDeadline, intentDeadline);
    return {};
  }
  // The order may have been carried out and followed by others whose intents the store has lost.
  // Repeating it would take them back.
  if (IsOfEarlierEra()) {
    mIntent = { *mRequestedOrder, aLease.fencing, mOptions.timeout, IntentState::Outstanding, "" };
    return WriteIntent(IntentState::Outstanding, aNow);
  }
  mIntent = { mStoredIntent->order, aLease.fencing, mOptions.timeout, IntentState::Outstanding,
              "" };
  if (mConfirmedOrderId == mStoredIntent->order.id && !isForeign) {
    return WriteIntent(IntentState::Done, aNow);
  }
  return WriteIntent(IntentState::Outstanding, aNow);
}

EngineOrderActions EngineOrderStateMachine::SendOrder(const LeaseStatus& aLease, Time aNow)
{
  if (!MayAct(aLease, aNow) || (mIntent.fencing != aLease.fencing && !mFaults.skipsLeaseCheck)) {
    return AbandonOrder();
  }
  if (aNow >= mDeadline && !mFaults.skipsLeaseCheck) {
    // Another holder measures the timeout from the last version, so a later send needs a new
    // version.
    return WriteIntent(IntentState::Outstanding, aNow);
  }
  mStep = Step::AwaitingReply;
  EngineOrderActions actions;
  actions.send = OrderTransmission{ ++mSendNumber, mIntent.order, mIntent.fencing, mDeadline };
  return actions;
}

EngineOrderActions EngineOrderStateMachine::OnDone(const LeaseStatus& aLease, Time aNow)
{
  if (mIntent.order.id == mRequestedOrder->id) {
    mRequestedOrder.reset();
    mStep = Step::Idle;
    EngineOrderActions actions;
    actions.result = EngineOrderResult::Done;
    return actions;
  }
  return MayAct(aLease, aNow) ? WriteNextIntent(aLease, aNow) : AbandonOrder();
}

EngineOrderActions EngineOrderStateMachine::AbandonOrder()
{
  mStep = Step::Idle;
  mWakeUp.reset();
  mIsVersionCurrent = false;
  EngineOrderActions actions;
  if (mRequestedOrder) {
    mRequestedOrder.reset();
    actions.result = EngineOrderResult::LeaseLost;
  }
  return actions;
}

} // namespace masticstep::authority
