#pragma once

#include "OutcomeWriter.hpp"
#include "Shard.hpp"
#include "masticstep/orders/OrderKey.hpp"
#include "masticstep/orders/OrderMachine.hpp"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticstep::orders {

// State and transitions of OrderMachine.
class OrderMachine::Implementation
{
public:
  // Protocol faults that the explorer tests must detect. All are disabled outside tests.
  struct InjectedFaults
  {
    bool dispatchBeforeClaim = false;
    bool dispatchClaimsWithoutOutcome = false;
    bool reportNoResponseAsNotRun = false;
    bool assumeLostRepliesApplied = false;
    bool skipFloorCheck = false;

    auto operator<=>(const InjectedFaults&) const = default;
  };

  explicit Implementation(OrderOptions aOptions);

  OrderActions Start(const OrderRequest& aRequest, Time aNow);
  OrderActions OnPlatformReply(const platform::PlatformReply& aReply, Time aNow);
  OrderActions OnBackendReply(const BackendReply& aReply, Time aNow);
  OrderActions OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;
  bool IsIdle() const;
  std::uint64_t DroppedOutcomes() const { return mDroppedOutcomes; }

  // Returns all members; the explorer uses them to detect known states.
  auto State() const
  {
    return std::tie(mOptions, mLastRequestNumber, mClaimCount, mOrders, mOrderByNonce, mOrderByKey,
                    mShards, mOutcomeReads, mOutcomeWriter, mDroppedOutcomes, mInjectedFaults);
  }

  InjectedFaults mInjectedFaults;

private:
  enum class Step
  {
    Claiming,   // the claim is not durable yet, or not checked against the floor yet
    Waiting,    // the key is claimed by another request whose outcome is polled for
    Dispatched, // the call was handed to the caller of OrderMachine
    Abandoned   // already responded to; its claim may still become durable
  };
  struct Order
  {
    OrderRequest request;
    ClaimKey key;
    ShardKey shard;
    std::string nonce;
    Step step = Step::Claiming;
    Time timeoutAt;          // end of claiming and waiting
    Time nextPoll;           // in step Waiting
    Duration pollInterval{}; // zero before the first poll

    auto operator<=>(const Order&) const = default;
  };
  // Read of an outcome object for a response to be replayed.
  struct OutcomeRead
  {
    RequestId id;
    CallOutcome outcome;

    auto operator<=>(const OutcomeRead&) const = default;
  };
  using Orders = std::map<RequestId, Order>;
  using Shards = std::map<ShardKey, Shard>;

  bool IsOwnNonce(const std::string& aNonce) const;
  Shard& FindOrCreateShard(const ShardKey& aKey, WallTime aNow);
  void AdvanceShard(Shard& aShard, Time aNow, OrderActions& aActions);
  void StartDueOutcomeWrite(Time aNow, OrderActions& aActions);
  void OnEvents(const std::vector<ClaimEvent>& aEvents, Time aNow, OrderActions& aActions);
  void OnClaimed(Order& aOrder, Time aNow, OrderActions& aActions);
  void Claim(Order& aOrder, Time aNow, OrderActions& aActions);
  void OnAlreadyClaimed(const Order& aOrder, const ClaimRecord& aRecord, Time aNow,
                        OrderActions& aActions);
  void WaitForOutcome(Order aOrder, Time aNow, OrderActions& aActions);
  void PollWaiting(Time aNow, OrderActions& aActions);
  void Replay(RequestId aId, const ShardKey& aShard, const CallOutcome& aOutcome,
              OrderActions& aActions);
  void OnOutcomeObject(const OutcomeRead& aRead, const platform::PlatformReply& aReply,
                       OrderActions& aActions);
  void TimeOut(Order& aOrder, Time aNow, OrderActions& aActions);
  void RecordOutcome(const Order& aOrder, CallOutcome aOutcome, Time aNow);
  void RecordNotRun(const Order& aOrder, Time aNow);
  void Remove(const Order& aOrder);
  void EvictIdleShards(Time aNow);

  OrderOptions mOptions;
  std::uint64_t mLastRequestNumber = 0; // of platform requests
  std::uint64_t mClaimCount = 0;        // makes claim nonces unique within the process
  Orders mOrders;
  std::map<std::string, RequestId> mOrderByNonce;
  std::map<ClaimKey, RequestId> mOrderByKey;
  Shards mShards;
  std::map<std::uint64_t, OutcomeRead> mOutcomeReads;
  OutcomeWriter mOutcomeWriter;
  std::uint64_t mDroppedOutcomes = 0;
};

} // namespace masticstep::orders
