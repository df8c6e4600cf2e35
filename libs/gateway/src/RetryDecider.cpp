#include "RetryDecider.hpp"

namespace masticstep::gateway {

RetryDecider::RetryDecider(std::uint64_t aSeed)
  : mPolicy([aSeed] {
    retry::RetryOptions options;
    options.seed = aSeed;
    return options;
  }())
{
}

void RetryDecider::OnFirstAttempt(const ServiceName& aService)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mPolicy.OnFirstAttempt(aService);
}

retry::RetryDecision RetryDecider::Decide(const retry::Attempt& aAttempt, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPolicy.Decide(aAttempt, aNow);
}

} // namespace masticstep::gateway
