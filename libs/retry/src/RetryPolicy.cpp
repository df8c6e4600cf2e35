#include "masticstep/retry/RetryPolicy.hpp"

#include <algorithm>

namespace masticstep::retry {

namespace {

// A larger exponent would only delay the retry past every deadline.
constexpr std::uint32_t kMaximumBackoffExponent = 6;

bool DefinitelyNotStarted(const Attempt& aAttempt)
{
  return aAttempt.progress == Progress::NotSent || aAttempt.progress == Progress::NotStarted;
}

bool MayHaveRun(const Attempt& aAttempt)
{
  return aAttempt.mayHaveRunBefore || aAttempt.tokensRelayed > 0 || !DefinitelyNotStarted(aAttempt);
}

RetryDecision GiveUp(const Attempt& aAttempt, GiveUpReason aReason)
{
  RetryDecision decision;
  decision.kind = RetryKind::GiveUp;
  decision.mayHaveRun = MayHaveRun(aAttempt);
  decision.run = decision.mayHaveRun ? RunState::Unknown : RunState::NotRun;
  decision.reason = aReason;
  decision.deadline = aAttempt.deadline;
  return decision;
}

} // namespace

RetryPolicy::RetryPolicy(RetryOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
{
}

void RetryPolicy::OnFirstAttempt(const ServiceName& aService)
{
  const auto it = mBudgets.try_emplace(aService, mOptions.maximumBudget).first;
  it->second = std::min(mOptions.maximumBudget, it->second + mOptions.budgetRatio);
}

RetryDecision RetryPolicy::Decide(const Attempt& aAttempt, Time aNow)
{
  if (aNow >= aAttempt.deadline) {
    return GiveUp(aAttempt, GiveUpReason::Deadline);
  }
  RetryDecision decision;
  decision.deadline = aAttempt.deadline;
  decision.mayHaveRun = MayHaveRun(aAttempt);
  // Resuming a stream adds no work to the engine, so it is not charged to the retry budget.
  if (!DefinitelyNotStarted(aAttempt) && aAttempt.isResumable &&
      aAttempt.resumes < mOptions.maximumResumes) {
    decision.kind = RetryKind::Resume;
    decision.offset = aAttempt.tokensRelayed;
    return decision;
  }
  // The caller has received part of the answer, and another run would produce a different one.
  const bool mayRepeat =
    aAttempt.tokensRelayed == 0 && (aAttempt.isRepeatable || !decision.mayHaveRun);
  if (!mayRepeat) {
    return GiveUp(aAttempt, GiveUpReason::NotRepeatable);
  }
  if (aAttempt.retries >= mOptions.maximumRetries) {
    return GiveUp(aAttempt, GiveUpReason::Attempts);
  }
  decision.delay = BackoffDelay(aAttempt.retries);
  if (aNow + decision.delay + aAttempt.minimumDuration >= aAttempt.deadline) {
    return GiveUp(aAttempt, GiveUpReason::Deadline);
  }
  if (!SpendBudget(aAttempt.service)) {
    return GiveUp(aAttempt, GiveUpReason::Budget);
  }
  decision.kind = RetryKind::Retry;
  return decision;
}

bool RetryPolicy::SpendBudget(const ServiceName& aService)
{
  const auto it = mBudgets.try_emplace(aService, mOptions.maximumBudget).first;
  if (it->second < 1.0) {
    return false;
  }
  it->second -= 1.0;
  return true;
}

Duration RetryPolicy::BackoffDelay(std::uint32_t aRetries)
{
  const Duration whole = mOptions.baseDelay * (1LL << std::min(aRetries, kMaximumBackoffExponent));
  const Duration half = whole / 2;
  return half + Duration{ static_cast<Duration::rep>(
                  mRandom.Below(static_cast<std::uint64_t>(half.count()) + 1)) };
}

double RetryPolicy::Budget(const ServiceName& aService) const
{
  const auto it = mBudgets.find(aService);
  return it == mBudgets.end() ? mOptions.maximumBudget : it->second;
}

} // namespace masticstep::retry
