#pragma once

#include "masticstep/admission/AdmissionDecision.hpp"
#include "masticstep/admission/AdmissionOptions.hpp"
#include "masticstep/admission/AdmissionRequest.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace masticstep::admission {

// Rest of a class after the router had no room for it; a step of an engine is about as long.
constexpr Duration kNoCapacityBackoff = Milliseconds(20);

// Admits requests up to a number of tokens in flight per service. The others wait in bounded queues
// by class and account. Classes share the room by priority, and accounts of a class share it by
// deficit round robin in tokens. Not thread-safe; times must not go back.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions);
  AdmissionQueue(AdmissionQueue&&) noexcept;
  AdmissionQueue& operator=(AdmissionQueue&&) noexcept;
  ~AdmissionQueue();

  AdmissionDecision Offer(const AdmissionRequest& aRequest, Time aNow);
  // Returns the waiting requests that may be routed now, in order.
  std::vector<AdmissionRequest> Release(Time aNow);
  // Returns the waiting requests whose deadline can no longer be met.
  std::vector<Refusal> OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;

  // An admitted or released request has ended. aTokens are those really used, which correct the
  // account's limit.
  void OnFinished(RequestId aId, std::uint32_t aTokens, Time aNow);
  // No engine has room for an admitted or released request: it waits again at its place, and its
  // class rests for kNoCapacityBackoff. Returns a refusal if the queue has no place any more.
  std::optional<Refusal> OnNoCapacity(RequestId aId, Time aNow);
  // The caller of a waiting request has left. Returns false if it is not waiting.
  bool Cancel(RequestId aId);

  // Tokens that this daemon may have in flight for the service; the shell sets it from
  // Router::Room. No limit until it is set.
  void SetCapacity(const ServiceName& aService, std::uint64_t aTokens);
  // Part of an account's limit that this daemon may use, from 0 to 1; 1 until it is set.
  void SetShare(const AccountName& aAccount, double aShare, Time aNow);
  // Takes new limits over. Waiting requests stay, also above a smaller limit.
  void SetOptions(AdmissionOptions aOptions);

  std::size_t Waiting() const;
  std::size_t InFlight() const;
  std::uint64_t TokensInFlight(const ServiceName& aService) const;

private:
  class State;

  std::unique_ptr<State> mState;
};

} // namespace masticstep::admission
