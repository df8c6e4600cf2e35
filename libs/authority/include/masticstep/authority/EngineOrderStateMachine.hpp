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
  bool refusesOldFencing = false; // whether the engine checks the fencing number
  std::string processNonce;       // drawn anew at every start of the process
  Duration timeout = Seconds(10); // of an intent
  Duration poll = Seconds(1);     // between repeats to an engine that is still busy

  auto operator<=>(const EngineOptions&) const = default;
};

// Says that an order is to be sent now, with this fencing number. The sender checks the lease and
// notAfter once more just before it writes the first byte, and closes the connection at notAfter,
// which is the deadline of the intent.
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
  Refused, // an old fencing number or a conflicting order
  NotSent, // no byte left this host
  Unknown  // no answer; the order may arrive until notAfter
};

enum class EngineOrderResult
{
  Done,
  LeaseLost, // a successor settles the order if its intent is durable
};

struct EngineOrderActions
{
  std::optional<platform::PlatformRequest> request;
  std::optional<OrderTransmission> send;
  std::optional<EngineOrderResult> result; // of the order given to Start
};

// Sends orders to one engine on behalf of a lease holder, one at a time (docs/AUTHORITY.md). The
// intent is durable before the order is sent. An outstanding intent of an earlier holder is settled
// by repeating the same order before another one is sent.
class EngineOrderStateMachine
{
public:
  explicit EngineOrderStateMachine(EngineOptions aOptions);

  bool IsIdle() const { return mStep == Step::Idle; }
  // Follows a change of the engine's settings; counts from the next intent that is settled.
  void SetRefusesOldFencing(bool aRefuses) { mOptions.refusesOldFencing = aRefuses; }
  // Starts an order; the machine must be idle and the lease held.
  EngineOrderActions Start(EngineOrder aOrder, const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnPlatformReply(const platform::PlatformReply& aReply,
                                     const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnEngineReply(std::uint64_t aNumber, EngineReply aReply,
                                   const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnTime(const LeaseStatus& aLease, Time aNow);
  std::optional<Time> NextWakeUp() const;

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mOptions, mStep, mPending, mIntent, mVersion, mSeen, mSeenAt, mDeadline,
                    mQuietUntil, mLate, mIsKnown, mNumber, mSends, mWrites, mWakeUp, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Faults that the exploring tests must detect. All are off outside tests.
  struct PlantedFaults
  {
    bool doesNotSettle = false;
    bool sendsBeforeIntent = false;
    bool doesNotCheckLease = false;
    bool doesNotWaitForDeadline = false;

    auto operator<=>(const PlantedFaults&) const = default;
  };

  enum class Step
  {
    Idle,
    Read,        // the intent is being read
    WaitSettle,  // for the deadline of a foreign intent
    WriteIntent, // the intent is being written
    Send,        // waits for mWakeUp to send again
    Engine,      // waits for the engine's reply
    WaitQuiet,   // the engine confirmed; copies of the order may still be on their way
    WriteDone
  };

  EngineOrderActions Read();
  EngineOrderActions Write(IntentState aState, Time aNow);
  EngineOrderActions OnRead(const platform::PlatformReply& aReply, const LeaseStatus& aLease,
                            Time aNow);
  EngineOrderActions Proceed(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions Send(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions OnDone(const LeaseStatus& aLease, Time aNow);
  EngineOrderActions Lose();
  bool MayAct(const LeaseStatus& aLease, Time aNow) const;
  void Wait(Step aStep, Time aUntil);

  EngineOptions mOptions;
  Step mStep = Step::Idle;
  std::optional<EngineOrder> mPending; // given to Start
  Intent mIntent;                      // being written or acted upon
  std::optional<platform::Version> mVersion;
  std::optional<Intent> mSeen; // content of mVersion
  Time mSeenAt;                // when mVersion was first seen
  Time mDeadline;              // of mIntent; the order is not sent later
  Time mQuietUntil;            // until then a copy of an order may be on its way
  std::string mLate;           // id of an order that the engine confirmed
  bool mIsKnown = false;       // whether mVersion is believed to be current
  std::uint64_t mNumber = 0;   // of the outstanding or latest call
  std::uint64_t mSends = 0;    // number of the latest send
  std::uint64_t mWrites = 0;
  std::optional<Time> mWakeUp;
  PlantedFaults mFaults;
};

} // namespace masticstep::authority
