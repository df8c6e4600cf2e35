#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/authority/LeaseManager.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <set>
#include <string>
#include <vector>

namespace masticstep::authority {

// Reaches the planted faults, which production code cannot.
class PlantedFault
{
public:
  using LeaseFaults = LeaseManager::PlantedFaults;
  using OrderFaults = EngineOrderStateMachine::PlantedFaults;
  static void Set(LeaseManager& aKeeper, const LeaseFaults& aFaults) { aKeeper.mFaults = aFaults; }
  static void Set(EngineOrderStateMachine& aMachine, const OrderFaults& aFaults)
  {
    aMachine.mFaults = aFaults;
  }
};

struct WorldOptions
{
  bool refusesOldFencing = true; // the engine
  std::uint32_t losses = 0;      // platform calls or answers
  std::uint32_t silences = 0;    // sends to the engine without answer
  std::uint32_t kills = 0;
  std::uint32_t waits = 0; // clock steps; a daemon that does not act meanwhile is paused
  PlantedFault::LeaseFaults leaseFaults = {};
  PlantedFault::OrderFaults orderFaults = {};
};

// Two daemons with real lease keepers and order machines, the platform and one engine. Each daemon
// wants to give the engine another order whenever it holds the lease.
class AuthorityWorld
{
public:
  enum class EventKind
  {
    Tick,  // a daemon notices the time
    Start, // a daemon that holds the lease gives its order
    Apply,
    LoseCall,
    LoseAnswer,
    TimeOut, // the daemon gets Unknown; the call is still on its way
    Deliver,
    Receive,      // the engine gets an order
    SilentEngine, // the daemon gets Unknown; the order is still on its way
    EngineAnswer,
    Finish, // the engine completes what it runs
    Kill,
    Wait
  };
  struct Event
  {
    EventKind kind = EventKind::Tick;
    std::size_t index = 0;
  };

  explicit AuthorityWorld(WorldOptions aOptions);

  // Takes the events without faults after which daemon 0 holds the lease and daemon 1 has seen it,
  // and, if asked, daemon 0 has a durable intent and its order is on its way to the engine.
  void Prepare(bool aOrderSent);
  // Takes the events after which daemon 0 was paused with an order on its way, whose deadline lies
  // after the end of its lease, and daemon 1 took over and gave its own order.
  void PrepareTakeover();
  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  auto State() const
  {
    return std::tie(mDaemons, mPlatform, mCalls, mReplies, mSends, mAnswers, mEngine, mNow, mBudget,
                    mViolation);
  }
  std::size_t Accepted() const { return mEngine.executed.size(); }

private:
  struct Daemon
  {
    LeaseManager keeper;
    EngineOrderStateMachine machine;
    std::uint32_t incarnation = 0;
    std::uint32_t orders = 0;
    auto State() const { return std::tie(keeper, machine, incarnation, orders); }
  };
  struct Address
  {
    std::size_t daemon = 0;
    std::uint32_t incarnation = 0;
    bool isLease = false;
  };
  struct Call
  {
    Address from;
    platform::PlatformRequest request;
  };
  struct Reply
  {
    Address to;
    platform::PlatformReply reply;
  };
  struct Sent
  {
    Address from;
    OrderTransmission send;
    bool isAnswered = false; // the daemon no longer waits for it
  };
  struct Answer
  {
    Address to;
    std::uint64_t number = 0;
    EngineReply reply = EngineReply::Unknown;
  };
  struct Engine
  {
    std::uint64_t fencing = 0;
    std::string last;
    bool isRunning = false;
    std::set<std::string> executed;
  };
  struct Budget
  {
    std::uint32_t losses = 0;
    std::uint32_t silences = 0;
    std::uint32_t kills = 0;
    std::uint32_t waits = 0;
  };
  struct PlatformState
  {
    platform::InMemoryPlatform platform;
    auto State() const { return std::tie(platform.All()); }
  };

  Daemon NewDaemon(std::size_t aIndex, std::uint32_t aIncarnation) const;
  void FinishCalls();
  void Tick(std::size_t aIndex);
  void Take(std::size_t aIndex, std::optional<platform::PlatformRequest> aRequest);
  void Take(std::size_t aIndex, EngineOrderActions aActions);
  void ApplyCall(const Event& aEvent);
  void Deliver(std::size_t aIndex);
  void Receive(std::size_t aIndex);
  EngineReply Accept(const OrderTransmission& aSend);
  void DeliverAnswer(std::size_t aIndex);
  bool MayWait() const;
  void Blame(const std::string& aViolation);
  bool IsCurrent(const Address& aAddress) const;

  WorldOptions mOptions;
  std::vector<Daemon> mDaemons;
  PlatformState mPlatform;
  std::vector<Call> mCalls;
  std::vector<Reply> mReplies;
  std::vector<Sent> mSends;
  std::vector<Answer> mAnswers;
  Engine mEngine;
  Budget mBudget;
  Time mNow{ Seconds(1) };
  std::string mViolation;
};

} // namespace masticstep::authority
