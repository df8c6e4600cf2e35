#include "OutcomeWriter.hpp"

#include <utility>

namespace masticstep::orders {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

// Escaping may lengthen a body; three quarters of an object leave room for it in common responses.
constexpr std::size_t kBatchBytes = platform::kMaximumObjectBytes * 3 / 4;
constexpr Duration kRetryDelay = Milliseconds(200);

} // namespace

OutcomeWriter::OutcomeWriter(std::string aProcessNonce, Duration aGrouping)
  : mProcessNonce(std::move(aProcessNonce))
  , mGrouping(aGrouping)
{
}

void OutcomeWriter::Add(StoredOutcome aOutcome, Time aNow)
{
  mPending.push_back(std::move(aOutcome));
  if (!mSendAt && !mIsInFlight) {
    mSendAt = aNow + mGrouping;
  }
}

// Takes the oldest outcomes of one bucket, since an object is dropped with its bucket.
void OutcomeWriter::TakeBatch()
{
  std::size_t bytes = 0;
  std::vector<StoredOutcome> left;
  const ShardKey first = mPending.front().shard;
  for (StoredOutcome& outcome : mPending) {
    const bool fits = mWriting.empty() || bytes + outcome.outcome.body.size() <= kBatchBytes;
    const bool same =
      outcome.shard.bucket == first.bucket && outcome.shard.service == first.service;
    if (fits && same) {
      bytes += outcome.outcome.body.size();
      mWriting.push_back(std::move(outcome));
    } else {
      left.push_back(std::move(outcome));
    }
  }
  mPending = std::move(left);
  mWritingName = mProcessNonce + "-" + std::to_string(++mObjects);
}

std::vector<platform::PlatformRequest> OutcomeWriter::Pump(Time aNow, std::uint64_t& aNumber)
{
  if (mIsInFlight || !mSendAt || aNow < *mSendAt) {
    return {};
  }
  mSendAt.reset();
  if (mWriting.empty()) {
    if (mPending.empty()) {
      return {};
    }
    TakeBatch();
  }
  std::vector<CallOutcome> outcomes;
  for (const StoredOutcome& item : mWriting) {
    outcomes.push_back(item.outcome);
  }
  mIsInFlight = true;
  mNumber = ++aNumber;
  return { { mNumber, ConditionalWrite{ OutcomeObjectOf(mWriting.front().shard, mWritingName),
                                        std::nullopt, EncodeOutcomes(outcomes) } } };
}

bool OutcomeWriter::OnReply(const PlatformReply& aReply, Time aNow,
                            std::vector<StoredOutcome>& aStored)
{
  if (!mIsInFlight || aReply.number != mNumber) {
    return false;
  }
  mIsInFlight = false;
  // Only this process uses the name, so a conflict means that an earlier try took effect.
  const bool durable =
    aReply.status == PlatformStatus::Done || aReply.status == PlatformStatus::Conflict;
  if (!durable && aReply.status != PlatformStatus::TooLarge) {
    mSendAt = aNow + kRetryDelay;
    return true;
  }
  std::uint32_t index = 0;
  for (StoredOutcome& item : mWriting) {
    CallOutcome reference{ durable ? OutcomeKind::Executed : OutcomeKind::NotKept,
                           durable ? 0 : item.outcome.status,
                           {},
                           {},
                           durable ? mWritingName : std::string(),
                           index++ };
    item.outcome = std::move(reference);
    aStored.push_back(std::move(item));
  }
  mWriting.clear();
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
