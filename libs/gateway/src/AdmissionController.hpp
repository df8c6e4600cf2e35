#pragma once

#include "AccountDemand.hpp"
#include "Refusal.hpp"
#include "masticstep/admission/AdmissionQueue.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/Configuration.hpp"
#include "masticstep/net/Task.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace masticstep::gateway {

// Thread-safe admission queue in which requests wait as suspended coroutines.
class AdmissionController
{
public:
  AdmissionController();
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void OnConfiguration(const Configuration& aConfiguration);
  // Suspends until the request may be routed. After success, OnRequestEnded must be called once.
  net::Task<Result<void, Refusal>> WaitForAdmission(admission::AdmissionRequest aRequest);
  // Returns an admitted request to its place in the queue because no engine has capacity for it.
  // Completes like WaitForAdmission; after a failure, OnRequestEnded must not be called.
  net::Task<Result<void, Refusal>> Requeue(RequestId aId);
  void OnRequestEnded(RequestId aId, std::uint32_t aTokens);
  // Makes WaitForAdmission or Requeue of a request fail. Does nothing if the request is not
  // waiting.
  void Cancel(RequestId aId);
  // Admits or refuses the waiting requests that are due.
  void OnTime(Time aNow);
  void SetCapacity(const ServiceName& aService, std::uint64_t aTokens);
  std::size_t Waiting() const;

  // Ends a demand measurement interval and returns the entry value to publish to the peers.
  std::string EndDemandInterval(Duration aInterval, const Configuration& aConfiguration);
  void OnPeerDemand(const HostName& aHost, std::string_view aValue);
  // Recomputes the shares of the account limits from the local and the peers' demand.
  void UpdateShares(const Configuration& aConfiguration);

private:
  struct Waiter;
  using Waiters = std::unordered_map<RequestId, std::shared_ptr<Waiter>>;

  static net::Task<Result<void, Refusal>> Wait(std::shared_ptr<Waiter> aWaiter);
  // Resumes a waiting coroutine with its result. The mutex must be held.
  void Resume(RequestId aId, Result<void, Refusal> aResult);
  void ReleaseDue(Time aNow);

  mutable std::mutex mMutex;
  admission::AdmissionQueue mQueue;
  Waiters mWaiters;
  AccountDemand mDemand;
};

} // namespace masticstep::gateway
