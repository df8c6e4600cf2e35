#pragma once

#include "OrderMachineImplementation.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticstep::orders {

// Reaches the planted faults, which production code cannot.
class PlantedFault
{
public:
  using Faults = OrderMachine::Implementation::PlantedFaults;
  static void Set(OrderMachine& aMachine, const Faults& aFaults)
  {
    aMachine.mImplementation->mFaults = aFaults;
  }
  static const OrderMachine::Implementation& Inside(const OrderMachine& aMachine)
  {
    return *aMachine.mImplementation;
  }
};

// One request of a caller to one daemon.
struct Attempt
{
  std::size_t daemon = 0;
  std::string key;
  std::string digest;
};

// A few seconds after the date of the keys in the tests, 2026-12-04T04:00:00Z; daemons then create
// the shard without reading it first.
constexpr WallTime kFreshWall{ 1796356805000 };
// A minute later; daemons then read the shard first.
constexpr WallTime kLaterWall{ 1796356865000 };

// Number of faults of each kind that the world may inject in one run.
struct FaultBudget
{
  std::uint32_t kills = 0;
  std::uint32_t losses = 0;     // of platform calls or responses
  std::uint32_t duplicates = 0; // of platform calls
  std::uint32_t silences = 0;   // of the backend server, before or after it ran the call
  std::uint32_t waits = 0;      // steps of the clock, on which daemons may lag behind
  std::uint32_t drops = 0;      // retention advances the floor and then deletes the bucket
};

// Daemons with real order machines, the platform and a backend server. Every message may be late,
// lost or duplicated, and every daemon may be killed or paused at every step.
class OrderWorld
{
public:
  enum class EventKind
  {
    Start,
    Apply,         // the platform handles a call and responses
    LoseCall,      // the call is lost; the daemon gets Unknown
    LoseAnswer,    // the call takes effect; the daemon gets Unknown
    TimeOut,       // the daemon gets Unknown; the call is still on its way
    ApplyTwice,    // the call takes effect and a copy of it is still on its way
    Deliver,       // an answer of the platform reaches the daemon
    Run,           // the backend server runs a call and responses
    LoseBeforeRun, // the call to the backend server is lost
    LoseAfterRun,  // the answer of the backend server is lost
    NotReached,    // the connection to the backend server fails before a byte is sent
    Kill,
    Wait,
    Tick, // a daemon notices the time
    Drop, // retention advances the floor
    Erase // retention deletes an object below the floor
  };
  struct Event
  {
    EventKind kind = EventKind::Start;
    std::size_t index = 0;
  };

  OrderWorld(std::size_t aDaemons, std::vector<Attempt> aAttempts, FaultBudget aBudget,
             PlantedFault::Faults aFaults = {}, WallTime aWall = kFreshWall);

  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  // Digest of the daemons' machines and all else.
  auto State() const
  {
    return std::tie(mMachines, mStarted, mPlatform, mCalls, mReplies, mRuns, mExecutions,
                    mDispatched, mAnswered, mClosed, mBudget, mNow, mViolation);
  }
  const std::map<std::string, std::uint32_t>& Executions() const { return mExecutions; }
  std::size_t Answers() const { return mAnswered.size(); }

private:
  struct Machine
  {
    OrderMachine machine;
    std::uint32_t incarnation = 0;

    auto State() const
    {
      return std::make_tuple(incarnation, PlantedFault::Inside(machine).State());
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
  struct Run
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
  void Take(std::size_t aDaemon, OrderActions aActions);
  void Check(const OrderResponse& aAnswer);
  void StartAttempt(std::size_t aIndex);
  void ApplyCall(const Event& aEvent);
  void RunBackend(const Event& aEvent);
  void Kill(std::size_t aDaemon);
  void Blame(std::string aViolation);
  void AdvanceFloor();
  std::vector<platform::ObjectKey> BelowFloor() const;

  std::vector<Attempt> mAttempts;
  PlantedFault::Faults mFaults;
  WallTime mWall;
  std::vector<Machine> mMachines;
  std::set<std::size_t> mStarted;
  PlatformState mPlatform;
  std::vector<Call> mCalls;
  std::vector<Reply> mReplies;
  std::vector<Run> mRuns;
  std::map<std::string, std::uint32_t> mExecutions; // by key
  std::set<std::size_t> mDispatched;                // attempts
  std::map<std::size_t, ResponseKind> mAnswered;    // by attempt
  std::set<std::string> mClosed;                    // keys that were said never to run
  FaultBudget mBudget;
  Time mNow{ Seconds(1) };
  std::string mViolation;
};

} // namespace masticstep::orders
