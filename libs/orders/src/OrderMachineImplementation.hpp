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

// State and steps of OrderMachine.
class OrderMachine::Implementation
{
public:
  // Faults that the exploring tests must detect. All are off outside tests.
  struct PlantedFaults
  {
    bool dispatchBeforeClaim = false;
    bool runsClaimsWithoutOutcome = false;
    bool silentBackendIsNotRun = false;
    bool assumeLostAnswersApplied = false;
    bool skipFloorCheck = false;

    auto operator<=>(const PlantedFaults&) const = default;
  };

  explicit Implementation(OrderOptions aOptions);

  OrderActions Start(const OrderRequest& aRequest, Time aNow);
  OrderActions OnPlatformReply(const platform::PlatformReply& aReply, Time aNow);
  OrderActions OnBackendReply(const BackendReply& aReply, Time aNow);
  OrderActions OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;
  bool IsIdle() const;
  std::uint64_t DroppedOutcomes() const { return mDroppedOutcomes; }

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mOptions, mNumber, mClaims, mOrders, mByNonce, mActive, mShards, mReads,
                    mOutcomes, mDroppedOutcomes, mFaults);
  }

  PlantedFaults mFaults;

private:
  enum class Step
  {
    Claiming,   // the claim is not yet durable or not yet checked against the floor
    Waiting,    // another request claimed the key; its outcome may be recorded soon
    Dispatched, // the call was handed out
    Abandoned   // answered "not run"; the claim may still become durable
  };
  struct Order
  {
    OrderRequest request;
    ClaimKey key;
    ShardKey shard;
    std::string nonce;
    Step step = Step::Claiming;
    Time giveUp;
    Time nextCheck;   // while waiting
    Duration pause{}; // between checks

    auto operator<=>(const Order&) const = default;
  };
  // Read of an outcome object for a replayed answer.
  struct OutcomeRead
  {
    RequestId id;
    CallOutcome outcome;

    auto operator<=>(const OutcomeRead&) const = default;
  };
  using Orders = std::map<RequestId, Order>;
  using Shards = std::map<ShardKey, Shard>;

  bool IsOwnNonce(const std::string& aNonce) const;
  Shard& ShardFor(const ShardKey& aKey, WallTime aNow);
  void PumpShard(Shard& aShard, Time aNow, OrderActions& aActions);
  void PumpOutcomes(Time aNow, OrderActions& aActions);
  void OnEvents(const std::vector<ClaimEvent>& aEvents, Time aNow, OrderActions& aActions);
  void OnClaimed(Order& aOrder, Time aNow, OrderActions& aActions);
  void Claim(Order& aOrder, Time aNow, OrderActions& aActions);
  void OnTaken(const Order& aOrder, const ClaimRecord& aRecord, Time aNow, OrderActions& aActions);
  void WaitForOutcome(Order aOrder, Time aNow, OrderActions& aActions);
  void CheckWaiting(Time aNow, OrderActions& aActions);
  void Replay(RequestId aId, const ShardKey& aShard, const CallOutcome& aOutcome,
              OrderActions& aActions);
  void OnOutcomeObject(const OutcomeRead& aRead, const platform::PlatformReply& aReply,
                       OrderActions& aActions);
  void GiveUp(Order& aOrder, Time aNow, OrderActions& aActions);
  void Record(const Order& aOrder, CallOutcome aOutcome, Time aNow);
  void RecordNotRun(const Order& aOrder, Time aNow);
  void Remove(const Order& aOrder);
  void DropIdleShards(Time aNow);

  OrderOptions mOptions;
  std::uint64_t mNumber = 0; // of the latest platform call
  std::uint64_t mClaims = 0; // number of claims that this process drew
  Orders mOrders;
  std::map<std::string, RequestId> mByNonce;
  std::map<ClaimKey, RequestId> mActive;
  Shards mShards;
  std::map<std::uint64_t, OutcomeRead> mReads;
  OutcomeWriter mOutcomes;
  std::uint64_t mDroppedOutcomes = 0;
};

} // namespace masticstep::orders
