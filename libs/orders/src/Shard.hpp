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
  Claimed,   // the claim is durable and its bucket was never dropped
  Taken,     // another record has the key; `record` holds it
  Full,      // the shard takes no further claims
  BelowFloor // the bucket was dropped; whether the key ran before is not known
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

// Groups the claims and outcomes of one shard object into conditional updates, of which at most one
// is in flight. Proves, by reading the floor after the object was loaded or created, that the
// object has never been dropped before it reports a claim as claimed.
class Shard
{
public:
  struct Options
  {
    Duration batchInterval{};  // longest wait of a claim or outcome for others to share its write
    bool assumeAbsent = false; // try to create the object without reading it first
    bool isShared = false;     // other processes were seen to write shards of this service
    bool assumeLostAnswersApplied = false; // planted fault
    bool skipFloorCheck = false;           // planted fault

    auto operator<=>(const Options&) const = default;
  };

  Shard(ShardKey aKey, Options aOptions);

  // Returns the durable record of a key as far as it is known here, or null.
  const ClaimRecord* Find(const ClaimKey& aKey) const;
  void AddClaim(ClaimRecord aRecord, Time aNow);
  // Stops trying to claim. Returns false if the claim is or may become durable; a Claimed event
  // then tells if it did.
  bool Withdraw(const std::string& aNonce);
  // Records how a call ended that was claimed with this nonce.
  void AddOutcome(const ClaimKey& aKey, const std::string& aNonce, CallOutcome aOutcome, Time aNow);
  // Reads the object again before the next decision.
  void Refresh() { mLoaded = false; }

  // Makes the calls that are due; aNumber is the number of the latest platform call.
  ShardActions Pump(Time aNow, std::uint64_t& aNumber);
  // Returns whether the reply belongs to this shard. Pump must follow.
  bool OnReply(const platform::PlatformReply& aReply, Time aNow, ShardActions& aActions);
  std::optional<Time> NextWakeUp() const;
  bool IsIdle() const;
  // Returns whether other processes seem to write the object too.
  bool IsShared() const { return mIsShared; }
  // Returns whether an outcome may be stored in its record instead of an outcome object.
  bool HasRoomForOutcome() const;
  bool HasClaim(const std::string& aNonce) const;
  Time LastUse() const { return mLastUse; }
  std::size_t PendingOutcomes() const { return mOutcomes.size(); }
  const ShardKey& Key() const { return mKey; }

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mKey, mOptions, mRecords, mBytes, mVersion, mLoaded, mIsShared, mSyncedAt,
                    mClaims, mOutcomes, mCall, mNumber, mWriting, mWritingOutcomes, mWriteAt,
                    mLastWrite, mRetryAt, mBackoff, mFloor, mFloorNumber, mFloorRetryAt, mDropped);
  }

private:
  struct PendingClaim
  {
    ClaimRecord record;
    bool sent = false;      // a write with it may have taken effect or may still do so
    bool lost = false;      // the answer to such a write was lost
    bool durable = false;   // waits for the floor only
    bool withdrawn = false; // must not be written again

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
  enum class Floor
  {
    Unchecked,
    Reading,
    Passed
  };

  // Bytes that a record takes in the end, with its separator.
  static std::size_t BytesOf(const ClaimRecord& aRecord);
  bool HasMutations() const;
  void WriteBy(Time aTime, Time aNow);
  bool HasRoomFor(std::size_t aBytes) const;
  void SendWrite(std::uint64_t& aNumber, ShardActions& aActions);
  void SendFloorRead(Time aNow, std::uint64_t& aNumber, ShardActions& aActions);
  std::string Encode(const std::vector<ClaimRecord>& aClaims) const;
  void OnRead(const platform::PlatformReply& aReply, Time aNow);
  void OnWritten(const platform::PlatformReply& aReply, Time aNow);
  void OnFloor(const platform::PlatformReply& aReply, Time aNow);
  void ApplyWrite();
  void Resolve(ShardActions& aActions);
  void BackOff(Time aNow);

  ShardKey mKey;
  Options mOptions;
  Records mRecords;       // durable content as of mVersion
  std::size_t mBytes = 0; // of mRecords, with room for the outcomes that are still to come
  std::optional<platform::Version> mVersion;
  bool mLoaded = false;
  bool mIsShared = false; // other processes write the object too
  Time mSyncedAt{};       // when mVersion was last known to be current
  std::vector<PendingClaim> mClaims;
  OutcomeTable mOutcomes;
  Call mCall = Call::None;
  std::uint64_t mNumber = 0;         // of the call in flight
  std::vector<ClaimRecord> mWriting; // claims of the write in flight
  OutcomeTable mWritingOutcomes;     // outcomes of the write in flight
  std::optional<Time> mWriteAt;      // when what is pending is to be written
  std::optional<Time> mLastWrite;    // when the latest write was sent
  std::optional<Time> mRetryAt;
  Duration mBackoff{};
  Floor mFloor = Floor::Unchecked;
  std::uint64_t mFloorNumber = 0;
  std::optional<Time> mFloorRetryAt;
  bool mDropped = false;
  Time mLastUse{};
};

} // namespace masticstep::orders
