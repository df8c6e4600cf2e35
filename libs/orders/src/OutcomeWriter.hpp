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

// An outcome that is on its way into the record of its claim.
struct StoredOutcome
{
  ShardKey shard;
  ClaimKey key;
  std::string nonce;
  CallOutcome outcome;

  auto operator<=>(const StoredOutcome&) const = default;
};

// Groups outcome bodies that are too long for their records into outcome objects, one object in
// flight at a time. Once an object is durable, its outcomes are returned as references to it.
class OutcomeWriter
{
public:
  // Object names start with the nonce of the process and are never used twice.
  OutcomeWriter(std::string aProcessNonce, Duration aGrouping);

  void Add(StoredOutcome aOutcome, Time aNow);
  std::vector<platform::PlatformRequest> Pump(Time aNow, std::uint64_t& aNumber);
  // Returns whether the reply belongs here; appends the outcomes whose bodies are now durable.
  bool OnReply(const platform::PlatformReply& aReply, Time aNow,
               std::vector<StoredOutcome>& aStored);
  std::optional<Time> NextWakeUp() const;
  std::size_t Pending() const { return mPending.size() + mWriting.size(); }

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mPending, mWriting, mWritingName, mObjects, mNumber, mIsInFlight, mSendAt);
  }

private:
  void TakeBatch();

  std::string mProcessNonce;
  Duration mGrouping;
  std::vector<StoredOutcome> mPending;
  std::vector<StoredOutcome> mWriting; // content of the object in flight or to be repeated
  std::string mWritingName;
  std::uint64_t mObjects = 0;
  std::uint64_t mNumber = 0;
  bool mIsInFlight = false;
  std::optional<Time> mSendAt;
};

} // namespace masticstep::orders
