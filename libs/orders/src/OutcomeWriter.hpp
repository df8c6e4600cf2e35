#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticstep::orders {

// Outcome to be stored in the record of its claim.
struct OutcomeUpdate
{
  ShardKey shard;
  ClaimKey key;
  std::string nonce;
  CallOutcome outcome;

  auto operator<=>(const OutcomeUpdate&) const = default;
};

// Batches outcomes whose bodies are too long for their records into outcome objects, with at most
// one write in flight. Once an object is durable, its outcomes are returned as references to it.
class OutcomeWriter
{
public:
  // Object names start with the nonce of the process and are never reused.
  OutcomeWriter(std::string aProcessNonce, Duration aBatchInterval);

  void Add(OutcomeUpdate aOutcome, Time aNow);
  // Returns the next write if it is due and none is in flight. aLastRequestNumber is incremented
  // for a new platform request.
  std::vector<platform::PlatformRequest> StartDueWrite(Time aNow,
                                                       std::uint64_t& aLastRequestNumber);
  // Returns whether the reply belongs to this writer. Appends the references to outcomes that
  // became durable, or outcomes of kind NotKept if the object was too large.
  bool OnReply(const platform::PlatformReply& aReply, Time aNow,
               std::vector<OutcomeUpdate>& aStored);
  std::optional<Time> NextWakeUp() const;
  std::size_t Pending() const { return mPending.size() + mBatch.size(); }

  // Returns all mutable members; the explorer uses them to detect known states.
  auto State() const
  {
    return std::tie(mPending, mBatch, mBatchName, mObjectCount, mRequestNumber, mIsInFlight,
                    mSendAt);
  }

private:
  void TakeBatch();

  std::string mProcessNonce;
  Duration mBatchInterval;
  std::vector<OutcomeUpdate> mPending;
  std::vector<OutcomeUpdate> mBatch; // written by the write in flight or to be retried
  std::string mBatchName;
  std::uint64_t mObjectCount = 0;
  std::uint64_t mRequestNumber = 0;
  bool mIsInFlight = false;
  std::optional<Time> mSendAt;
};

} // namespace masticstep::orders
