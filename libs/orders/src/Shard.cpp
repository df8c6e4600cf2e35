#include "Shard.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

constexpr Duration kFirstBackoff = Milliseconds(50);
constexpr Duration kLongestBackoff = Seconds(2);

} // namespace

Shard::Shard(ShardKey aKey, Options aOptions)
  : mKey(std::move(aKey))
  , mOptions(aOptions)
  , mLoaded(aOptions.assumeAbsent)
{
}

const ClaimRecord* Shard::Find(const ClaimKey& aKey) const
{
  const Records::const_iterator it = mRecords.find(aKey);
  return it == mRecords.end() ? nullptr : &it->second;
}

void Shard::AddClaim(ClaimRecord aRecord, Time aNow)
{
  mClaims.push_back({ std::move(aRecord), false, false, false, false });
  NotePending(aNow);
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
  NotePending(aNow);
}

void Shard::NotePending(Time aNow)
{
  mLastUse = std::max(mLastUse, aNow);
  if (!mFirstPending) {
    mFirstPending = aNow;
  }
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
  if (!mLoaded && (HasMutations() || !mClaims.empty())) {
    mCall = Call::Read;
    mNumber = ++aNumber;
    actions.requests.push_back({ mNumber, ReadRequest{ ObjectOf(mKey) } });
  } else if (mLoaded && HasMutations() && mFirstPending &&
             aNow >= *mFirstPending + mOptions.grouping) {
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
  mFirstPending.reset();
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

bool Shard::OnReply(const PlatformReply& aReply, Time aNow, ShardActions& aActions)
{
  if (mFloor == Floor::Reading && aReply.number == mFloorNumber) {
    OnFloor(aReply, aNow);
  } else if (mCall != Call::None && aReply.number == mNumber) {
    const Call call = std::exchange(mCall, Call::None);
    call == Call::Read ? OnRead(aReply, aNow) : OnWritten(aReply, aNow);
  } else {
    return false;
  }
  Resolve(aActions);
  return true;
}

void Shard::OnRead(const PlatformReply& aReply, Time aNow)
{
  std::optional<Records> records = Records{};
  if (aReply.status == PlatformStatus::Done) {
    records = ParseRecords(aReply.body);
  } else if (aReply.status != PlatformStatus::NotFound) {
    records.reset();
  }
  if (!records) {
    BackOff(aNow);
    return;
  }
  mBackoff = Duration{};
  mRecords = std::move(*records);
  mVersion = aReply.version;
  mLoaded = true;
  mFloor = Floor::Unchecked;
  mFloorRetryAt.reset();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
  // The read shows the effect of every earlier write but one that is still on its way. If that one
  // arrives later, it leaves a claim without outcome, which never runs.
  std::erase_if(mClaims,
                [](const PendingClaim& aClaim) { return aClaim.withdrawn && !aClaim.durable; });
}

void Shard::OnWritten(const PlatformReply& aReply, Time aNow)
{
  const bool applied =
    aReply.status == PlatformStatus::Done ||
    (aReply.status == PlatformStatus::Unknown && mOptions.assumeLostAnswersApplied);
  if (applied) {
    mBackoff = Duration{};
    if (!mVersion) {
      mFloor = Floor::Unchecked;
    }
    mVersion = aReply.status == PlatformStatus::Done ? aReply.version : platform::Version{};
    ApplyWrite();
    return;
  }
  for (OutcomeTable::value_type& item : mWritingOutcomes) {
    mOutcomes.insert(std::move(item));
  }
  mWritingOutcomes.clear();
  for (PendingClaim& claim : mClaims) {
    claim.lost = claim.lost || (claim.sent && aReply.status == PlatformStatus::Unknown);
    claim.sent = claim.lost || claim.durable;
  }
  if (HasMutations() && !mFirstPending) {
    mFirstPending = aNow - mOptions.grouping;
  }
  if (aReply.status == PlatformStatus::Conflict || aReply.status == PlatformStatus::Unknown) {
    mLoaded = false;
  }
  if (aReply.status != PlatformStatus::Conflict) {
    BackOff(aNow);
  }
}

void Shard::ApplyWrite()
{
  for (const ClaimRecord& claim : mWriting) {
    mRecords.emplace(claim.key, claim);
  }
  for (const OutcomeTable::value_type& item : mWritingOutcomes) {
    const Records::iterator it = mRecords.find(item.first);
    if (it != mRecords.end() && it->second.nonce == item.second.nonce) {
      it->second.outcome = item.second.outcome;
    }
  }
  mWritingOutcomes.clear();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
}

void Shard::OnFloor(const PlatformReply& aReply, Time aNow)
{
  mFloor = Floor::Unchecked;
  std::optional<std::uint64_t> floor;
  if (aReply.status == PlatformStatus::NotFound) {
    floor = 0;
  } else if (aReply.status == PlatformStatus::Done) {
    floor = ParseFloor(aReply.body);
  }
  if (!floor) {
    mFloorRetryAt = aNow + kFirstBackoff;
    return;
  }
  mFloor = Floor::Passed;
  mDropped = mKey.bucket < *floor && !mOptions.skipFloorCheck;
  if (mDropped) {
    mOutcomes.clear();
  }
}

// Reports what the known content decides about the pending claims.
void Shard::Resolve(ShardActions& aActions)
{
  std::vector<PendingClaim> left;
  std::size_t count = mRecords.size();
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
    } else if (mLoaded && !claim.durable && !inFlight && count >= kMaximumRecords) {
      aActions.events.push_back({ ClaimEventKind::Full, nonce, {} });
    } else {
      count += claim.durable ? 0 : 1;
      left.push_back(std::move(claim));
    }
  }
  mClaims = std::move(left);
}

void Shard::BackOff(Time aNow)
{
  mBackoff = mBackoff == Duration{} ? kFirstBackoff : std::min(mBackoff * 2, kLongestBackoff);
  mRetryAt = aNow + mBackoff;
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
  } else if (mCall == Call::None && mFirstPending && HasMutations()) {
    consider(*mFirstPending + mOptions.grouping);
  }
  if (mFloor == Floor::Unchecked && mFloorRetryAt && !mClaims.empty()) {
    consider(*mFloorRetryAt);
  }
  return next;
}

} // namespace masticstep::orders
