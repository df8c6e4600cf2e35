#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

struct RetryOptions
{
  // Retries that each first attempt pays for: at most a tenth more load in a lasting failure.
  double budgetRatio = 0.1;
  // Retries that may be saved up, for the failure of one engine with all that it was running.
  double maximumBudget = 20.0;
  std::uint32_t maximumRetries = 2;
  std::uint32_t maximumResumes = 2;
  // Wait before retry n is drawn from [half, whole] of this times 2^n.
  Duration baseDelay = Milliseconds(10);
  std::uint64_t seed = 1;
};

} // namespace masticstep::retry
