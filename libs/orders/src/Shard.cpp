#include "Shard.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::ConditionalWrite;
using platform::ReadRequest;

namespace {

// No caller waits for the write of an outcome. Waiting for the next claim's write saves one in six
// writes at 100 orders a second.
constexpr std::int64_t kOutcomeIntervals = 5;
// A claim waits only if the latest write was less than this many batchInterval intervals ago.
constexpr std::int64_t kQuietIntervals = 2;
constexpr std::size_t kReferenceBytes = 80; // of an outcome that refers to an outcome object
constexpr std::size_t kObjectBytes = platform::kMaximumObjectBytes - 1024; // without the brackets

} // namespace

Shard::Shard(ShardKey aKey, Options aOptions)
  : mKey(std::move(aKey))
  , mOptions(aOptions)
  , mLoaded(aOptions.assumeAbsent)
  , mIsShared(aOptions.isShared)
{
}

std::size_t Shard::BytesOf(const ClaimRecord& aRecord)
{
  std::string text;
  AppendRecord(aRecord, text);
  return text.size() + 1 + (aRecord.outcome ? 0 : kReferenceBytes);
}

const ClaimRecord* Shard::Find(const ClaimKey& aKey) const
{
  const Records::const_iterator it = mRecords.find(aKey);
  return it == mRecords.end() ? nullptr : &it->second;
}

void Shard::AddClaim(ClaimRecord aRecord, Time aNow)
{
  mClaims.push_back({ std::move(aRecord), false, false, false, false });
  const Time quiet = mLastWrite ? *mLastWrite + mOptions.batchInterval * kQuietIntervals : aNow;
  WriteBy(std::min(aNow + mOptions.batchInterval, std::max(aNow, quiet)), aNow);
}

bool Shard::Withdraw(const std::string& aNonce)
{
  const std::vector<PendingClaim>::iterator it =
    std::find_if(mClaims.begin(), mClaims.end(),
                 [&aNonce](const PendingClaim& aClaim) { return aClaim.record.nonce == aNonce; });
  if (it == mClaims.end()) {
    return true;
  }
  if (!it->sent) {
    mClaims.erase(it);
    return true;
  }
  it->withdrawn = true;
  return false;
}

void Shard::AddOutcome(const ClaimKey& aKey, const std::string& aNonce, CallOutcome aOutcome,
                       Time aNow)
{
  mOutcomes[aKey] = { aNonce, std::move(aOutcome) };
  WriteBy(aNow + mOptions.batchInterval * kOutcomeIntervals, aNow);
}

void Shard::WriteBy(Time aTime, Time aNow)
{
  mLastUse = std::max(mLastUse, aNow);
  mWriteAt = mWriteAt ? std::min(*mWriteAt, aTime) : aTime;
}

// Outcomes that are not durable yet may each take a whole record.
bool Shard::HasRoomFor(std::size_t aBytes) const
{
  const std::size_t pending = mOutcomes.size() + mWritingOutcomes.size();
  return mBytes + aBytes + pending * kMaximumRecordBytes <= kObjectBytes;
}

bool Shard::HasRoomForOutcome() const
{
  return HasRoomFor(kMaximumRecordBytes);
}

bool Shard::HasClaim(const std::string& aNonce) const
{
  return std::any_of(mClaims.begin(), mClaims.end(), [&aNonce](const PendingClaim& aClaim) {
    return aClaim.record.nonce == aNonce;
  });
}

bool Shard::HasMutations() const
{
  return !mOutcomes.empty() ||
         std::any_of(mClaims.begin(), mClaims.end(), [](const PendingClaim& aClaim) {
           return !aClaim.durable && !aClaim.withdrawn;
         });
}

bool Shard::IsIdle() const
{
  return mCall == Call::None && mClaims.empty() && mOutcomes.empty() && mFloor != Floor::Reading;
}

ShardActions Shard::Pump(Time aNow, std::uint64_t& aNumber)
{
  ShardActions actions;
  Resolve(actions);
  SendFloorRead(aNow, aNumber, actions);
  if (mDropped || mCall != Call::None || (mRetryAt && aNow < *mRetryAt)) {
    return actions;
  }
  mRetryAt.reset();
  const bool writeIsDue = HasMutations() && mWriteAt && aNow >= *mWriteAt;
  if (writeIsDue && mIsShared && aNow - mSyncedAt > mOptions.batchInterval) {
    mLoaded = false; // a read is cheaper than a write that conflicts
  }
  if (!mLoaded && (HasMutations() || !mClaims.empty())) {
    mCall = Call::Read;
    mNumber = ++aNumber;
    actions.requests.push_back({ mNumber, ReadRequest{ ObjectOf(mKey) } });
  } else if (mLoaded && writeIsDue) {
    mLastWrite = aNow;
    SendWrite(aNumber, actions);
  }
  return actions;
}

// A floor read proves something only if it starts after the object was loaded or created.
void Shard::SendFloorRead(Time aNow, std::uint64_t& aNumber, ShardActions& aActions)
{
  const bool known = mLoaded && mVersion.has_value();
  if (mFloor != Floor::Unchecked || !known || mClaims.empty() || mDropped ||
      (mFloorRetryAt && aNow < *mFloorRetryAt)) {
    return;
  }
  mFloorRetryAt.reset();
  mFloor = Floor::Reading;
  mFloorNumber = ++aNumber;
  aActions.requests.push_back({ mFloorNumber, ReadRequest{ FloorObjectOf(mKey.service) } });
}

void Shard::SendWrite(std::uint64_t& aNumber, ShardActions& aActions)
{
  mWriting.clear();
  for (PendingClaim& claim : mClaims) {
    if (!claim.durable && !claim.withdrawn) {
      claim.sent = true;
      mWriting.push_back(claim.record);
    }
  }
  mWritingOutcomes = std::exchange(mOutcomes, {});
  mWriteAt.reset();
  mCall = Call::Write;
  mNumber = ++aNumber;
  aActions.requests.push_back(
    { mNumber, ConditionalWrite{ ObjectOf(mKey), mVersion, Encode(mWriting) } });
}

std::string Shard::Encode(const std::vector<ClaimRecord>& aClaims) const
{
  std::string text = "{\"records\":[";
  text.reserve((mRecords.size() + aClaims.size()) * kMaximumRecordBytes);
  for (const Records::value_type& item : mRecords) {
    text += text.back() == '[' ? "" : ",";
    const OutcomeTable::const_iterator it = mWritingOutcomes.find(item.first);
    if (it == mWritingOutcomes.end() || it->second.nonce != item.second.nonce) {
      AppendRecord(item.second, text);
      continue;
    }
    ClaimRecord record = item.second;
    record.outcome = it->second.outcome;
    AppendRecord(record, text);
  }
  for (const ClaimRecord& claim : aClaims) {
    text += text.back() == '[' ? "" : ",";
    AppendRecord(claim, text);
  }
  return text + "]}";
}

// Reports what the known content decides about the pending claims.
void Shard::Resolve(ShardActions& aActions)
{
  std::vector<PendingClaim> left;
  std::size_t bytes = 0; // of claims that are not part of mRecords
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = mLoaded ? Find(claim.record.key) : nullptr;
    const bool inFlight = mCall == Call::Write && claim.sent && !claim.durable;
    const std::string nonce = claim.record.nonce;
    if (mDropped) {
      aActions.events.push_back({ ClaimEventKind::BelowFloor, nonce, {} });
    } else if (claim.durable && mFloor == Floor::Passed) {
      aActions.events.push_back({ ClaimEventKind::Claimed, nonce, claim.record });
    } else if (!claim.durable && found != nullptr && !inFlight) {
      aActions.events.push_back({ ClaimEventKind::Taken, nonce, *found });
    } else if (mLoaded && !claim.durable && !claim.sent &&
               !HasRoomFor(bytes + BytesOf(claim.record))) {
      aActions.events.push_back({ ClaimEventKind::Full, nonce, {} });
    } else {
      bytes += claim.durable ? 0 : BytesOf(claim.record);
      left.push_back(std::move(claim));
    }
  }
  mClaims = std::move(left);
}

std::optional<Time> Shard::NextWakeUp() const
{
  std::optional<Time> next;
  const auto consider = [&next](Time aTime) { next = next ? std::min(*next, aTime) : aTime; };
  if (mDropped) {
    return next;
  }
  if (mCall == Call::None && mRetryAt) {
    consider(*mRetryAt);
  } else if (mCall == Call::None && mWriteAt && HasMutations()) {
    consider(*mWriteAt);
  }
  if (mFloor == Floor::Unchecked && mFloorRetryAt && !mClaims.empty()) {
    consider(*mFloorRetryAt);
  }
  return next;
}

} // namespace masticstep::orders
