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

enum class ClaimEventKind
{
  Claimed,        // the claim is durable and its bucket is not below the floor
  AlreadyClaimed, // the key belongs to another claim, see `record`
  Full,           // the shard object has no room for the claim
  BelowFloor      // the bucket has expired; whether the key was executed before is unknown
};

struct ClaimEvent
{
  ClaimEventKind kind = ClaimEventKind::Full;
  std::string nonce;
  ClaimRecord record;

  auto operator<=>(const ClaimEvent&) const = default;
};

struct ShardActions
{
  std::vector<platform::PlatformRequest> requests;
  std::vector<ClaimEvent> events;
};

// Batches the claims and outcomes of one shard object into conditional writes, with at most one in
// flight. A claim is reported as claimed only after the floor was read, following the load or
// creation of the object, and shows that the object has never been deleted by retention.
class Shard
{
public:
  struct Options
  {
    Duration batchInterval{};  // longest delay of a claim before its write, for batching
    bool assumeAbsent = false; // create the object without reading it first
    bool isShared = false;     // other processes are known to write shards of this service
    bool assumeLostRepliesApplied = false; // injected fault, tests only
    bool skipFloorCheck = false;           // injected fault, tests only

    auto operator<=>(const Options&) const = default;
  };

  Shard(ShardKey aKey, Options aOptions);

  // Returns the durable record of a key in the cached object, or null.
  const ClaimRecord* Find(const ClaimKey& aKey) const;
  void AddClaim(ClaimRecord aRecord, Time aNow);
  // Stops writing the claim. Returns false if the claim is or may become durable; a Claimed event
  // then reports if it did.
  bool CancelClaim(const std::string& aNonce);
  // Stores the outcome of the call that was claimed with this nonce.
  void AddOutcome(const ClaimKey& aKey, const std::string& aNonce, CallOutcome aOutcome, Time aNow);
  // Marks the cached object as stale, so that it is read again before the next decision.
  void Invalidate() { mLoaded = false; }

  // Returns the events and the requests that are due. aLastRequestNumber is incremented for each
  // new platform request.
  ShardActions Advance(Time aNow, std::uint64_t& aLastRequestNumber);
  // Returns whether the reply belongs to this shard; if so, the caller must call Advance next.
  bool OnReply(const platform::PlatformReply& aReply, Time aNow, ShardActions& aActions);
  std::optional<Time> NextWakeUp() const;
  bool IsIdle() const;
  // Returns whether other processes appear to write the object as well.
  bool IsShared() const { return mIsShared; }
  // Returns whether an outcome can be stored inline, in its record instead of an outcome object.
  bool HasRoomForOutcome() const;
  bool HasClaim(const std::string& aNonce) const;
  Time LastUse() const { return mLastUse; }
  std::size_t PendingOutcomes() const { return mOutcomes.size(); }
  const ShardKey& Key() const { return mKey; }

  // Returns the members that affect behaviour; the explorer uses them to detect known states.
  auto State() const
  {
    return std::tie(mKey, mOptions, mRecords, mReservedBytes, mVersion, mLoaded, mIsShared,
                    mValidatedAt, mClaims, mOutcomes, mCallInFlight, mCallNumber, mClaimsInFlight,
                    mOutcomesInFlight, mWriteAt, mLastWrite, mRetryAt, mBackoff, mFloorCheck,
                    mFloorNumber, mFloorRetryAt, mIsBelowFloor);
  }

private:
  struct PendingClaim
  {
    ClaimRecord record;
    bool sent = false;      // a write of it may have taken effect or may still do so
    bool replyLost = false; // the reply to such a write was lost
    bool durable = false;   // pending only on the floor check
    bool cancelled = false; // must not be written any more

    auto operator<=>(const PendingClaim&) const = default;
  };
  struct PendingOutcome
  {
    std::string nonce;
    CallOutcome outcome;

    auto operator<=>(const PendingOutcome&) const = default;
  };
  using OutcomeTable = std::map<ClaimKey, PendingOutcome>;
  enum class Call
  {
    None,
    Read,
    Write
  };
  enum class FloorCheck
  {
    Unchecked,
    Reading,
    Passed
  };

  // Returns the encoded size of a record with its separator, plus room for an outcome reference if
  // the outcome is pending.
  static std::size_t ReservedBytes(const ClaimRecord& aRecord);
  bool HasPendingChanges() const;
  void ScheduleWrite(Time aTime, Time aNow);
  bool HasRoomFor(std::size_t aBytes) const;
  void SendWrite(std::uint64_t& aLastRequestNumber, ShardActions& aActions);
  void SendFloorRead(Time aNow, std::uint64_t& aLastRequestNumber, ShardActions& aActions);
  std::string Encode(const std::vector<ClaimRecord>& aClaims) const;
  void OnReadReply(const platform::PlatformReply& aReply, Time aNow);
  void OnWriteReply(const platform::PlatformReply& aReply, Time aNow);
  void OnFloorReply(const platform::PlatformReply& aReply, Time aNow);
  void ApplyWrite();
  void ResolveClaims(ShardActions& aActions);
  void BackOff(Time aNow);

  ShardKey mKey;
  Options mOptions;
  Records mRecords;               // durable content at mVersion
  std::size_t mReservedBytes = 0; // size of mRecords including room for pending outcomes
  std::optional<platform::Version> mVersion;
  bool mLoaded = false;
  bool mIsShared = false; // other processes write the object as well
  Time mValidatedAt{};    // when mVersion was last confirmed to be current
  std::vector<PendingClaim> mClaims;
  OutcomeTable mOutcomes;
  Call mCallInFlight = Call::None;
  std::uint64_t mCallNumber = 0;            // request number of the call in flight
  std::vector<ClaimRecord> mClaimsInFlight; // part of the write in flight
  OutcomeTable mOutcomesInFlight;           // part of the write in flight
  std::optional<Time> mWriteAt;             // when pending changes are due to be written
  std::optional<Time> mLastWrite;           // when the latest write was sent
  std::optional<Time> mRetryAt;
  Duration mBackoff{};
  FloorCheck mFloorCheck = FloorCheck::Unchecked;
  std::uint64_t mFloorNumber = 0;
  std::optional<Time> mFloorRetryAt;
  bool mIsBelowFloor = false;
  Time mLastUse{};
};

} // namespace masticstep::orders
