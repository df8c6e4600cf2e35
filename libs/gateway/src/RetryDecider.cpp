#include "RetryDecider.hpp"

namespace masticstep::gateway {

namespace {

constexpr std::uint32_t kMaximumRetries = 2;
constexpr std::uint32_t kMaximumResumes = 2;

} // namespace

void RetryDecider::OnFirstAttempt(const ServiceName& /*aService*/) {}

RetryDecision RetryDecider::Decide(const FailedAttempt& aAttempt, Time aNow)
{
  const bool mayHaveRun = aAttempt.mayHaveRunBefore ||
                          aAttempt.progress == AttemptProgress::Unknown ||
                          aAttempt.progress == AttemptProgress::Started;
  const RunState run = mayHaveRun ? RunState::Unknown : RunState::NotRun;
  const bool isInTime = aNow < aAttempt.deadline || aAttempt.tokensRelayed > 0;
  if (aAttempt.isResumable && isInTime && aAttempt.resumes < kMaximumResumes) {
    return { NextStep::Resume, run, Duration::zero(), mayHaveRun };
  }
  const bool mayRepeat = aAttempt.isRepeatable || !mayHaveRun;
  if (mayRepeat && isInTime && aAttempt.tokensRelayed == 0 && aAttempt.retries < kMaximumRetries) {
    return { NextStep::Retry, run, Duration::zero(), mayHaveRun };
  }
  return { NextStep::GiveUp, run, Duration::zero(), mayHaveRun };
}

} // namespace masticstep::gateway
