#pragma once

#include "AccountBucket.hpp"
#include "FairQueue.hpp"
#include "masticstep/admission/AdmissionQueue.hpp"

#include <deque>
#include <limits>
#include <set>
#include <unordered_map>

namespace masticstep::admission {

// Told to callers that are refused because a queue is full.
constexpr Duration kRetryAfterFull = Seconds(1);

inline double ClassWeight(const ClassLimits& aLimits)
{
  return 1.0 + aLimits.priority;
}

class AdmissionQueue::State
{
public:
  explicit State(AdmissionOptions aOptions);

  AdmissionDecision Offer(const AdmissionRequest& aRequest, Time aNow);
  std::vector<AdmissionRequest> Release(Time aNow);
  std::vector<Refusal> OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;
  void OnFinished(RequestId aId, std::uint32_t aTokens, Time aNow);
  std::optional<Refusal> OnNoCapacity(RequestId aId, Time aNow);
  bool Cancel(RequestId aId);
  void SetCapacity(const ServiceName& aService, std::uint64_t aTokens);
  void SetShare(const AccountName& aAccount, double aShare, Time aNow);
  void SetOptions(AdmissionOptions aOptions);
  std::size_t Waiting() const;
  std::size_t InFlight() const { return mInFlight.size(); }
  std::uint64_t TokensInFlight(const ServiceName& aService) const;

private:
  struct ClassState
  {
    ClassLimits limits;
    FairQueue queue;
    // Tokens served divided by the class's weight; the smallest is served next.
    double served = 0.0;
    Time restsUntil{};
  };
  struct ServiceState
  {
    std::deque<ClassState> classes;
    std::uint64_t capacity = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t tokensInFlight = 0;
    std::size_t waiting = 0;
    // Tokens finished per second while requests waited; 0 is unknown.
    double tokensPerSecond = 0.0;
    double tokensFinished = 0.0;
    Time windowStart;
  };
  struct AccountState
  {
    double weight = 1.0;
    std::optional<AccountBucket> bucket;
  };
  struct AdmittedRequest
  {
    AdmissionRequest request;
    // It waited, so that its class was charged for it.
    bool wasReleased = false;
  };

  ClassState* FindClass(ServiceState& aService, const ClassName& aName);
  double WeightOf(const AccountName& aAccount) const;
  AccountBucket* BucketOf(const AccountName& aAccount);
  bool HasRoom(const ServiceState& aService, std::uint32_t aTokens) const;
  void Admit(ServiceState& aService, const AdmissionRequest& aRequest, bool aWasReleased,
             Time aNow);
  // The class to serve next among those that wait and do not rest.
  ClassState* NextClass(ServiceState& aService, Time aNow);
  void Enqueue(ServiceState& aService, const AdmissionRequest& aRequest);
  // Whether a new request of the class must wait, since others of the service wait before it.
  bool MustWait(ServiceState& aService, const ClassState& aClass, Time aNow);
  double ExpectedWait(const ServiceState& aService, const ClassState& aClass,
                      const AdmissionRequest& aRequest) const;
  void Measure(ServiceState& aService, std::uint32_t aTokens, Time aNow);

  AdmissionOptions mOptions;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::unordered_map<AccountName, AccountState> mAccounts;
  std::unordered_map<RequestId, AdmittedRequest> mInFlight;
  // Latest useful release of each waiting request.
  std::set<std::pair<Time, std::uint64_t>> mLatest;
  std::unordered_map<RequestId, Time> mLatestOf;
};

} // namespace masticstep::admission
