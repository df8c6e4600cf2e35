#pragma once

#include "AccountBucket.hpp"
#include "FairQueue.hpp"
#include "masticstep/admission/AdmissionQueue.hpp"

#include <deque>
#include <limits>
#include <set>
#include <unordered_map>

namespace masticstep::admission {

// Retry-After of requests that are refused because a queue is full.
constexpr Duration kQueueFullRetryAfter = Seconds(1);

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
    // Tokens served divided by the class's weight. The class with the smallest value is served
    // next.
    double normalizedServed = 0.0;
    Time backoffUntil{};
  };
  struct ServiceState
  {
    std::deque<ClassState> classes;
    std::uint64_t capacity = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t tokensInFlight = 0;
    std::size_t waiting = 0;
    // Tokens finished per second while requests waited, or 0 if unknown.
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
    // The request was queued before, so its tokens were charged to its class.
    bool wasQueued = false;
  };

  ClassState* FindClass(ServiceState& aService, const ClassName& aName);
  double WeightOf(const AccountName& aAccount) const;
  AccountBucket* BucketOf(const AccountName& aAccount);
  bool HasCapacity(const ServiceState& aService, std::uint32_t aTokens) const;
  void Admit(ServiceState& aService, const AdmissionRequest& aRequest, bool aWasQueued, Time aNow);
  // Returns the class to serve next among those with queued requests and no active backoff.
  ClassState* NextClass(ServiceState& aService, Time aNow);
  void TrackWaiting(ServiceState& aService, const AdmissionRequest& aRequest);
  // Returns whether a new request of the class must be queued behind others of the service.
  bool MustWait(ServiceState& aService, const ClassState& aClass, Time aNow);
  double ExpectedWait(const ServiceState& aService, const ClassState& aClass,
                      const AdmissionRequest& aRequest) const;
  void MeasureThroughput(ServiceState& aService, std::uint32_t aTokens, Time aNow);

  AdmissionOptions mOptions;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::unordered_map<AccountName, AccountState> mAccounts;
  std::unordered_map<RequestId, AdmittedRequest> mInFlight;
  // Latest useful release time of each queued request.
  std::set<std::pair<Time, std::uint64_t>> mReleaseDeadlines;
  std::unordered_map<RequestId, Time> mReleaseDeadlineOf;
};

} // namespace masticstep::admission
