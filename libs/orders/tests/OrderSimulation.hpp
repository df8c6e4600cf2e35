#pragma once

#include "OrderMachineImplementation.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticstep::orders {

// Grants tests access to the fault switches and the state of OrderMachine.
class FaultInjector
{
public:
  using Faults = OrderMachine::Implementation::InjectedFaults;
  static void Set(OrderMachine& aMachine, const Faults& aFaults)
  {
    aMachine.mImplementation->mInjectedFaults = aFaults;
  }
  static const OrderMachine::Implementation& ImplementationOf(const OrderMachine& aMachine)
  {
    return *aMachine.mImplementation;
  }
};

// One request of a caller, sent to one daemon.
struct Attempt
{
  std::size_t daemon = 0;
  std::string key;
  std::string digest;
};

// 5 s after the date of the test keys, 2026-12-04T04:00:00Z: daemons create the shard without
// reading it first.
constexpr WallTime kWallTimeNearKey{ 1796356805000 };
// 65 s after the date of the test keys: daemons read the shard first.
constexpr WallTime kWallTimeAfterKey{ 1796356865000 };

// Maximum number of faults of each kind in one run.
struct FaultBudget
{
  std::uint32_t crashes = 0;
  std::uint32_t lostMessages = 0;    // platform requests or replies
  std::uint32_t duplicates = 0;      // platform requests
  std::uint32_t backendFailures = 0; // no response, before or after the call was executed
  std::uint32_t clockAdvances = 0;   // daemons may observe the new time late
  std::uint32_t floorAdvances = 0;   // after which the bucket may be deleted
};

// Model for the explorer: daemons that run the production OrderMachine, the platform and a backend
// server. Within the fault budget, any message may be delayed, lost or duplicated, and any daemon
// may crash or pause at any point.
class OrderSimulation
{
public:
  enum class EventKind
  {
    Start,
    Apply,               // the platform handles a request and replies
    LoseRequest,         // the request is lost; the daemon gets Unknown
    LoseReply,           // the request takes effect; the daemon gets Unknown
    TimeOut,             // the daemon gets Unknown; the request remains in transit
    Duplicate,           // the request takes effect; a copy of it remains in transit
    Deliver,             // a reply of the platform reaches the daemon
    Execute,             // the backend server executes a call and responds
    LoseBeforeExecution, // the call to the backend server is lost
    LoseAfterExecution,  // the call is executed; its response is lost
    FailConnection,      // the connection to the backend server fails before a byte is sent
    Crash,
    AdvanceClock,
    Tick,         // a daemon handles its expired timers
    AdvanceFloor, // retention advances the floor
    DeleteExpired // retention deletes an object below the floor
  };
  struct Event
  {
    EventKind kind = EventKind::Start;
    std::size_t index = 0;
  };

  OrderSimulation(std::size_t aDaemons, std::vector<Attempt> aAttempts, FaultBudget aBudget,
                  FaultInjector::Faults aFaults = {}, WallTime aWallTime = kWallTimeNearKey);

  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  // Returns the state of the daemons and their environment; the explorer uses it to detect known
  // states.
  auto State() const
  {
    return std::tie(mMachines, mStarted, mPlatform, mCalls, mReplies, mPendingExecutions,
                    mExecutions, mDispatched, mResponses, mReportedNotRun, mBudget, mNow,
                    mViolation);
  }
  const std::map<std::string, std::uint32_t>& Executions() const { return mExecutions; }
  std::size_t ResponseCount() const { return mResponses.size(); }

private:
  struct Machine
  {
    OrderMachine machine;
    std::uint32_t incarnation = 0;

    auto State() const
    {
      return std::make_tuple(incarnation, FaultInjector::ImplementationOf(machine).State());
    }
  };
  struct Call
  {
    std::size_t daemon = 0;
    std::uint32_t incarnation = 0;
    platform::PlatformRequest request;
  };
  struct Reply
  {
    std::size_t daemon = 0;
    std::uint32_t incarnation = 0;
    platform::PlatformReply reply;
  };
  struct Execution
  {
    std::size_t daemon = 0;
    std::uint32_t incarnation = 0;
    std::size_t attempt = 0;
  };
  struct PlatformState
  {
    platform::InMemoryPlatform platform;
    auto State() const { return std::tie(platform.All()); }
  };

  OrderMachine NewMachine(std::size_t aDaemon, std::uint32_t aIncarnation) const;
  void HandleActions(std::size_t aDaemon, OrderActions aActions);
  void CheckResponse(const OrderResponse& aResponse);
  void StartAttempt(std::size_t aIndex);
  void ApplyCall(const Event& aEvent);
  void RunBackend(const Event& aEvent);
  void Crash(std::size_t aDaemon);
  void ReportViolation(std::string aViolation);
  void AdvanceFloor();
  std::vector<platform::ObjectKey> BelowFloor() const;

  std::vector<Attempt> mAttempts;
  FaultInjector::Faults mInjectedFaults;
  WallTime mWallTime;
  std::vector<Machine> mMachines;
  std::set<std::size_t> mStarted;
  PlatformState mPlatform;
  std::vector<Call> mCalls;
  std::vector<Reply> mReplies;
  std::vector<Execution> mPendingExecutions;
  std::map<std::string, std::uint32_t> mExecutions; // by key
  std::set<std::size_t> mDispatched;                // attempts
  std::map<std::size_t, ResponseKind> mResponses;   // by attempt
  std::set<std::string> mReportedNotRun;            // keys that were reported as never executed
  FaultBudget mBudget;
  Time mNow{ Seconds(1) };
  std::string mViolation;
};

} // namespace masticstep::orders
