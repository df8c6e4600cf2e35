#pragma once

#include "masticstep/retry/RetryPolicy.hpp"

#include <mutex>

namespace masticstep::gateway {

// Thread-safe retry::RetryPolicy.
class RetryDecider
{
public:
  explicit RetryDecider(std::uint64_t aSeed);

  void OnFirstAttempt(const ServiceName& aService);
  retry::RetryDecision Decide(const retry::Attempt& aAttempt, Time aNow);

private:
  std::mutex mMutex;
  retry::RetryPolicy mPolicy;
};

} // namespace masticstep::gateway
