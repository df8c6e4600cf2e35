#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/retry/Attempt.hpp"
#include "masticstep/retry/RetryDecision.hpp"
#include "masticstep/retry/RetryOptions.hpp"

#include <unordered_map>

namespace masticstep::retry {

// Decides what follows a failed attempt. Retries are paid from a budget per service that first
// attempts fill, so that a failing service is not loaded further by its retries. Not thread-safe.
class RetryPolicy
{
public:
  explicit RetryPolicy(RetryOptions aOptions);

  // Counts the first attempt of a request.
  void OnFirstAttempt(const ServiceName& aService);
  RetryDecision Decide(const Attempt& aAttempt, Time aNow);
  // Retries that the service may still make at once.
  double Budget(const ServiceName& aService) const;

private:
  bool Take(const ServiceName& aService);
  Duration Delay(std::uint32_t aRetries);

  RetryOptions mOptions;
  Random mRandom;
  std::unordered_map<ServiceName, double> mBudgets;
};

} // namespace masticstep::retry
