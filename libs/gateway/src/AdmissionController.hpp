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

// admission::AdmissionQueue behind one mutex, with the coroutines that wait in it.
class AdmissionController
{
public:
  AdmissionController();
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void OnConfiguration(const Configuration& aConfiguration);
  // Waits until the request may be routed. After success OnRequestEnded must be called once.
  net::Task<Result<void, Refusal>> WaitForAdmission(admission::AdmissionRequest aRequest);
  // Lets a request that entered wait again at its place, because no engine has room for it. Ends
  // like WaitForAdmission; after a failure OnRequestEnded must not be called.
  net::Task<Result<void, Refusal>> Requeue(RequestId aId);
  void OnRequestEnded(RequestId aId, std::uint32_t aTokens);
  // Ends the wait of a request; WaitForAdmission then fails. Does nothing if the request does not
  // wait.
  void Cancel(RequestId aId);
  // Releases and refuses what is due.
  void OnTime(Time aNow);
  void SetCapacity(const ServiceName& aService, std::uint64_t aTokens);
  std::size_t Waiting() const;

  // Ends an interval of demand and returns the entry value for the peers.
  std::string EndDemandInterval(Duration aInterval, const Configuration& aConfiguration);
  void OnPeerDemand(const HostName& aHost, std::string_view aValue);
  // Applies the shares that follow from the demand here and at the peers.
  void UpdateShares(const Configuration& aConfiguration);

private:
  struct Waiter;
  using Waiters = std::unordered_map<RequestId, std::shared_ptr<Waiter>>;

  static net::Task<Result<void, Refusal>> Wait(std::shared_ptr<Waiter> aWaiter);
  // Wakes a waiting coroutine with its result. The mutex must be held.
  void Wake(RequestId aId, Result<void, Refusal> aResult);
  void ReleaseDue(Time aNow);

  mutable std::mutex mMutex;
  admission::AdmissionQueue mQueue;
  Waiters mWaiters;
  AccountDemand mDemand;
};

} // namespace masticstep::gateway
