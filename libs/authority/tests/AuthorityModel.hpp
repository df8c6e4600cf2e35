#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/authority/LeaseManager.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <set>
#include <string>
#include <vector>

namespace masticstep::authority {

// Sets the protocol faults, which production code cannot access.
class PlantedFault
{
public:
  using LeaseFaults = LeaseManager::PlantedFaults;
  using OrderFaults = EngineOrderStateMachine::PlantedFaults;
  static void Set(LeaseManager& aLeaseManager, const LeaseFaults& aFaults)
  {
    aLeaseManager.mFaults = aFaults;
  }
  static void Set(EngineOrderStateMachine& aStateMachine, const OrderFaults& aFaults)
  {
    aStateMachine.mFaults = aFaults;
  }
};

struct ModelOptions
{
  bool refusesOldFencing = true;     // whether the engine checks fencing tokens
  std::uint32_t losses = 0;          // of platform requests or replies
  std::uint32_t unansweredSends = 0; // sends to the engine without a reply
  std::uint32_t crashes = 0;
  std::uint32_t restores = 0; // of the platform from a copy
  // Whether the engine refuses an order while it carries out another one, as the platform's do. The
  // restored platform may have lost the intent of an order that is being carried out.
  bool refusesWhileRunning = false;
  std::uint32_t clockSteps = 0; // a daemon without events between two steps is paused
  PlantedFault::LeaseFaults leaseFaults = {};
  PlantedFault::OrderFaults orderFaults = {};
};

// Model for state space exploration: two daemons with the production LeaseManager and
// EngineOrderStateMachine, the platform and one engine. Each incarnation of a daemon starts one
// order of its own while it holds the lease.
class AuthorityModel
{
public:
  enum class EventKind
  {
    Tick,  // a daemon handles a due timer
    Start, // a daemon that holds the lease starts its order
    Apply,
    LoseRequest,
    LoseReply,
    TimeOut, // the daemon gets Unknown; the request is still in flight
    Deliver,
    Receive,      // the engine receives an order
    SilentEngine, // the daemon gets Unknown; the order is still in flight
    EngineAnswer,
    FinishOrder, // the engine completes the running order
    Crash,
    AdvanceClock,
    KeepCopy, // the platform's state is kept for a restore, instead of an earlier one
    Restore
  };
  struct Event
  {
    EventKind kind = EventKind::Tick;
    std::size_t index = 0;
  };

  explicit AuthorityModel(ModelOptions aOptions);

  // Applies events without faults, after which daemon 0 holds the lease and daemon 1 has read it.
  // With aOrderSent, daemon 0 also has a durable intent and its order is in flight.
  void Prepare(bool aOrderSent);
  // Applies events after which daemon 0 is paused with an order in flight, whose deadline is after
  // the end of its lease, and daemon 1 has taken over and started its own order.
  void PrepareTakeover();
  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  auto State() const
  {
    return std::tie(mDaemons, mPlatform, mPendingRequests, mPendingReplies, mInFlightOrders,
                    mPendingEngineReplies, mEngine, mNow, mBudget, mCopy, mViolation);
  }
  std::size_t AcceptedOrders() const { return mEngine.executed.size(); }

private:
  struct Daemon
  {
    LeaseManager leaseManager;
    EngineOrderStateMachine stateMachine;
    std::uint32_t incarnation = 0;
    std::uint32_t orders = 0;
    auto State() const { return std::tie(leaseManager, stateMachine, incarnation, orders); }
  };
  struct Address
  {
    std::size_t daemon = 0;
    std::uint32_t incarnation = 0;
    bool isLease = false;
  };
  struct PendingRequest
  {
    Address from;
    platform::PlatformRequest request;
  };
  struct PendingReply
  {
    Address to;
    platform::PlatformReply reply;
  };
  struct InFlightOrder
  {
    Address from;
    OrderTransmission send;
    bool hasTimedOut = false; // the daemon no longer waits for the reply
  };
  struct PendingEngineReply
  {
    Address to;
    std::uint64_t number = 0;
    EngineReply reply = EngineReply::Unknown;
  };
  struct Engine
  {
    std::uint64_t fencing = 0;
    std::string lastOrderId;
    bool isRunning = false;
    std::set<std::string> executed;
  };
  struct FaultBudget
  {
    std::uint32_t losses = 0;
    std::uint32_t unansweredSends = 0;
    std::uint32_t crashes = 0;
    std::uint32_t clockSteps = 0;
    std::uint32_t copies = 0;
    std::uint32_t restores = 0;
  };
  struct PlatformState
  {
    platform::InMemoryPlatform platform;
    auto State() const { return std::tuple(platform.All(), platform.Era()); }
  };

  Daemon NewDaemon(std::size_t aIndex, std::uint32_t aIncarnation) const;
  void CompletePlatformRequests();
  void Tick(std::size_t aIndex);
  void Enqueue(std::size_t aIndex, std::optional<platform::PlatformRequest> aRequest);
  void Enqueue(std::size_t aIndex, EngineOrderActions aActions);
  void ApplyPlatformEvent(const Event& aEvent);
  void Deliver(std::size_t aIndex);
  void Receive(std::size_t aIndex);
  EngineReply Accept(const OrderTransmission& aTransmission);
  void DeliverEngineReply(std::size_t aIndex);
  bool MayAdvanceClock() const;
  void RecordViolation(const std::string& aViolation);
  bool IsCurrent(const Address& aAddress) const;

  ModelOptions mOptions;
  std::vector<Daemon> mDaemons;
  PlatformState mPlatform;
  PlatformState mCopy; // from which the platform is restored
  std::vector<PendingRequest> mPendingRequests;
  std::vector<PendingReply> mPendingReplies;
  std::vector<InFlightOrder> mInFlightOrders;
  std::vector<PendingEngineReply> mPendingEngineReplies;
  Engine mEngine;
  FaultBudget mBudget;
  Time mNow{ Seconds(1) };
  std::string mViolation;
};

} // namespace masticstep::authority
