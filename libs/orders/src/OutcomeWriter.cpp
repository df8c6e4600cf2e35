#include "OutcomeWriter.hpp"

#include <utility>

namespace masticstep::orders {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

// JSON escaping may lengthen a body. A quarter of the object size is reserved for it, which
// suffices for common responses.
constexpr std::size_t kBatchBytes = platform::kMaximumObjectBytes * 3 / 4;
constexpr Duration kRetryDelay = Milliseconds(200);

} // namespace

OutcomeWriter::OutcomeWriter(std::string aProcessNonce, Duration aBatchInterval)
  : mProcessNonce(std::move(aProcessNonce))
  , mBatchInterval(aBatchInterval)
{
}

void OutcomeWriter::Add(OutcomeUpdate aOutcome, Time aNow)
{
  mPending.push_back(std::move(aOutcome));
  if (!mSendAt && !mIsInFlight) {
    mSendAt = aNow + mBatchInterval;
  }
}

// Moves the oldest outcomes of one bucket into the batch. Outcomes of several buckets are not mixed
// because retention deletes an outcome object together with its bucket.
void OutcomeWriter::TakeBatch()
{
  std::size_t bytes = 0;
  std::vector<OutcomeUpdate> remaining;
  const ShardKey first = mPending.front().shard;
  for (OutcomeUpdate& outcome : mPending) {
    const bool fits = mBatch.empty() || bytes + outcome.outcome.body.size() <= kBatchBytes;
    const bool isSameBucket =
      outcome.shard.bucket == first.bucket && outcome.shard.service == first.service;
    if (fits && isSameBucket) {
      bytes += outcome.outcome.body.size();
      mBatch.push_back(std::move(outcome));
    } else {
      remaining.push_back(std::move(outcome));
    }
  }
  mPending = std::move(remaining);
  mBatchName = mProcessNonce + "-" + std::to_string(++mObjectCount);
}

std::vector<platform::PlatformRequest> OutcomeWriter::StartDueWrite(
  Time aNow, std::uint64_t& aLastRequestNumber)
{
  if (mIsInFlight || !mSendAt || aNow < *mSendAt) {
    return {};
  }
  mSendAt.reset();
  if (mBatch.empty()) {
    if (mPending.empty()) {
      return {};
    }
    TakeBatch();
  }
  std::vector<CallOutcome> outcomes;
  for (const OutcomeUpdate& item : mBatch) {
    outcomes.push_back(item.outcome);
  }
  mIsInFlight = true;
  mRequestNumber = ++aLastRequestNumber;
  return { { mRequestNumber, ConditionalWrite{ OutcomeObjectOf(mBatch.front().shard, mBatchName),
                                               std::nullopt, EncodeOutcomes(outcomes) } } };
}

bool OutcomeWriter::OnReply(const PlatformReply& aReply, Time aNow,
                            std::vector<OutcomeUpdate>& aStored)
{
  if (!mIsInFlight || aReply.number != mRequestNumber) {
    return false;
  }
  mIsInFlight = false;
  // Only this process uses the object name, so a conflict means that an earlier attempt took
  // effect.
  const bool durable =
    aReply.status == PlatformStatus::Done || aReply.status == PlatformStatus::Conflict;
  if (!durable && aReply.status != PlatformStatus::TooLarge) {
    mSendAt = aNow + kRetryDelay;
    return true;
  }
  std::uint32_t index = 0;
  for (OutcomeUpdate& item : mBatch) {
    // Refers to the stored object by name and index, or is NotKept if the object was too large.
    CallOutcome reference{ durable ? OutcomeKind::Executed : OutcomeKind::NotKept,
                           durable ? 0 : item.outcome.status,
                           {},
                           {},
                           durable ? mBatchName : std::string(),
                           index++ };
    item.outcome = std::move(reference);
    aStored.push_back(std::move(item));
  }
  mBatch.clear();
  if (!mPending.empty()) {
    mSendAt = aNow;
  }
  return true;
}

std::optional<Time> OutcomeWriter::NextWakeUp() const
{
  return mIsInFlight ? std::nullopt : mSendAt;
}

} // namespace masticstep::orders
