#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

struct RetryOptions
{
  // Retry budget added by each first attempt. During a sustained failure, retries add at most 10%
  // load.
  double budgetRatio = 0.1;
  // Upper limit of the accumulated retry budget, enough for the failure of one engine with all its
  // running requests.
  double maximumBudget = 20.0;
  std::uint32_t maximumRetries = 2;
  std::uint32_t maximumResumes = 2;
  // The delay before retry n is drawn from [half, whole] of this times 2^n.
  Duration baseDelay = Milliseconds(10);
  std::uint64_t seed = 1;
};

} // namespace masticstep::retry
