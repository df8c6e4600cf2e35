#pragma once

#include "masticstep/authority/EngineOrder.hpp"
#include "masticstep/authority/Lease.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticstep::authority {

struct EngineOptions
{
  EngineId engine;
  bool refusesOldFencing = false;     // whether the engine checks the fencing token
  std::string processNonce;           // different at every process start
  Duration timeout = Seconds(10);     // of an intent
  Duration pollInterval = Seconds(1); // between repeats of an order or a platform request

  auto operator<=>(const EngineOptions&) const = default;
};

// Order to be sent now, with its fencing token. The sender checks the lease and notAfter once more
// just before it writes the first byte, and closes the connection at notAfter, which is the
// deadline of the intent.
struct OrderTransmission
{
  std::uint64_t number = 0; // for OnEngineReply
  EngineOrder order;
  std::uint64_t fencing = 0;
  Time notAfter;

  auto operator<=>(const OrderTransmission&) const = default;
};

enum class EngineReply
{
  Done,
  Running,
  Refused, // the engine reports an old fencing token or a conflicting order
  NotSent, // no byte was sent
  Unknown  // no reply; the order may arrive until notAfter
};

enum class EngineOrderResult
{
  Done,
  LeaseLost, // the next holder completes the order if its intent is durable
};

struct EngineOrderActions
{
  std::optional<platform::PlatformRequest> request;
  std::optional<OrderTransmission> send;
  std::optional<EngineOrderResult> result; // of the order given to Start
};

// Sends orders to one engine for the lease holder, one at a time (docs/AUTHORITY.md). The intent is
// durable before the order is sent. An outstanding intent of an earlier holder is completed by
// sending the same order again, before another order is sent.
class EngineOrderStateMachine
{
public:
  explicit EngineOrderStateMachine(EngineOptions aOptions);

  bool IsIdle() const { return mStep == Step::Idle; }
  // Applies a change of the engine's settings, from the next outstanding intent on.
  void SetRefusesOldFencing(bool aRefuses) { mOptions.refusesOldFencing = aRefuses; }
  // Starts an order. Requires IsIdle() and a valid lease.
  EngineOrderActions Start(EngineOrder aOrder, const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnPlatformReply(const platform::PlatformReply& aReply,
                                     const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnEngineReply(std::uint64_t aNumber, EngineReply aReply,
                                   const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnTime(const LeaseStatus& aLease, Time aNow);
  std::optional<Time> NextWakeUp() const;

  // Returns all members, for comparison of states.
  auto State() const
  {
    return std::tie(mOptions, mStep, mRequestedOrder, mIntent, mVersion, mStoredIntent,
                    mVersionObservedAt, mDeadline, mCopiesUntil, mConfirmedOrderId,
                    mIsVersionCurrent, mRequestNumber, mSendNumber, mWriteCount, mWakeUp, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Protocol faults that the state space exploration in the tests must detect. Off outside tests.
  struct PlantedFaults
  {
    bool ignoresOutstandingIntent = false;
    bool sendsBeforeIntent = false;
    bool skipsLeaseCheck = false;
    bool skipsDeadlineWait = false;

    auto operator<=>(const PlantedFaults&) const = default;
  };

  enum class Step
  {
    Idle,
    Reading,                // of the stored intent
    AwaitingIntentDeadline, // an earlier holder's order may still be sent
    WritingIntent,          // of an outstanding intent
    AwaitingResend,         // the order is sent again at mWakeUp
    AwaitingReply,          // the order was sent
    AwaitingCopies,         // the engine confirmed the order; copies may be in flight
    WritingDone             // of the intent as done
  };

  EngineOrderActions ReadIntent();
  EngineOrderActions WriteIntent(IntentState aState, Time aNow);
  EngineOrderActions OnRead(const platform::PlatformReply& aReply, const LeaseStatus& aLease,
                            Time aNow);
  EngineOrderActions WriteNextIntent(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions SendOrder(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnDone(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions AbandonOrder();
  bool MayAct(const LeaseStatus& aLease, Time aNow) const;
  // Returns whether the stored intent was written before the store was restored.
  bool IsOfEarlierEra() const;
  void WaitUntil(Step aStep, Time aUntil);

  EngineOptions mOptions;
  Step mStep = Step::Idle;
  std::optional<EngineOrder> mRequestedOrder; // given to Start
  Intent mIntent;                             // being written or sent
  std::optional<platform::Version> mVersion;
  std::optional<Intent> mStoredIntent; // content of mVersion
  Time mVersionObservedAt;             // when mVersion was first read or written
  Time mDeadline;                      // of mIntent; the order is not sent later
  Time mCopiesUntil;                   // copies of an order may be in flight until then
  std::string mConfirmedOrderId;       // id of an order that the engine confirmed
  bool mIsVersionCurrent = false;      // whether mVersion is believed to be current
  std::uint64_t mRequestNumber = 0;    // of the outstanding or latest request
  std::uint64_t mSendNumber = 0;       // number of the latest send
  std::uint64_t mWriteCount = 0;
  std::optional<Time> mWakeUp;
  PlantedFaults mFaults;
};

} // namespace masticstep::authority
