#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/retry/Attempt.hpp"
#include "masticstep/retry/RetryDecision.hpp"
#include "masticstep/retry/RetryOptions.hpp"

#include <unordered_map>

namespace masticstep::retry {

// Decides how to continue after a failed attempt. Each service has a retry budget that its first
// attempts replenish, so that retries do not overload a failing service. Not thread-safe.
class RetryPolicy
{
public:
  explicit RetryPolicy(RetryOptions aOptions);

  // Counts the first attempt of a request.
  void OnFirstAttempt(const ServiceName& aService);
  RetryDecision Decide(const Attempt& aAttempt, Time aNow);
  // Returns the number of retries that the service may make at once.
  double Budget(const ServiceName& aService) const;

private:
  bool SpendBudget(const ServiceName& aService);
  Duration BackoffDelay(std::uint32_t aRetries);

  RetryOptions mOptions;
  Random mRandom;
  std::unordered_map<ServiceName, double> mBudgets;
};

} // namespace masticstep::retry
