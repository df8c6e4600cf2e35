#pragma once

#include "masticstep/admission/AdmissionDecision.hpp"
#include "masticstep/admission/AdmissionOptions.hpp"
#include "masticstep/admission/AdmissionRequest.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace masticstep::admission {

// Time for which a class is not served after the router had no capacity for it, about the duration
// of one engine step.
constexpr Duration kNoCapacityBackoff = Milliseconds(20);

// Limits the tokens in flight per service and queues further requests by class and account. The
// queues are bounded. Classes share the capacity by priority, and the accounts of a class share it
// by deficit round robin in tokens. Not thread-safe. Time arguments must not decrease.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions);
  AdmissionQueue(AdmissionQueue&&) noexcept;
  AdmissionQueue& operator=(AdmissionQueue&&) noexcept;
  ~AdmissionQueue();

  AdmissionDecision Offer(const AdmissionRequest& aRequest, Time aNow);
  // Returns the queued requests that may be routed now, in order.
  std::vector<AdmissionRequest> Release(Time aNow);
  // Removes and returns the queued requests whose deadline can no longer be met.
  std::vector<Refusal> OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;

  // An admitted or released request has finished. aTokens is its actual usage and corrects the
  // amount charged to the account.
  void OnFinished(RequestId aId, std::uint32_t aTokens, Time aNow);
  // No engine has capacity for an admitted or released request. The request is queued again at its
  // old position, and its class is not served for kNoCapacityBackoff. Returns a refusal if the
  // queue is full by now.
  std::optional<Refusal> OnNoCapacity(RequestId aId, Time aNow);
  // The caller of a queued request has disconnected. Returns false if the request is not queued.
  bool Cancel(RequestId aId);

  // Sets the tokens that this daemon may have in flight for the service, which are computed from
  // Router::CapacityOf. Unlimited until set.
  void SetCapacity(const ServiceName& aService, std::uint64_t aTokens);
  // Sets the fraction of an account's limit that this daemon may use, from 0 to 1. The default is
  // 1.
  void SetShare(const AccountName& aAccount, double aShare, Time aNow);
  // Applies new limits. Queued requests stay, even if they exceed a lowered limit.
  void SetOptions(AdmissionOptions aOptions);

  std::size_t Waiting() const;
  std::size_t InFlight() const;
  std::uint64_t TokensInFlight(const ServiceName& aService) const;

private:
  class State;

  std::unique_ptr<State> mState;
};

} // namespace masticstep::admission
