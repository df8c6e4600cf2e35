#include "AdmissionState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

// Window and smoothing factor of the measured throughput; the average covers about three windows.
constexpr Duration kThroughputWindow = Seconds(1);
constexpr double kThroughputSmoothing = 0.3;

} // namespace

void AdmissionQueue::State::Admit(ServiceState& aService, const AdmissionRequest& aRequest,
                                  bool aWasQueued, Time aNow)
{
  aService.tokensInFlight += aRequest.tokens;
  mInFlight[aRequest.id] = { aRequest, aWasQueued };
  AccountBucket* bucket = BucketOf(aRequest.account);
  if (bucket != nullptr) {
    bucket->Charge(aRequest.tokens, aNow);
  }
}

std::vector<AdmissionRequest> AdmissionQueue::State::Release(Time aNow)
{
  std::vector<AdmissionRequest> released;
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    ServiceState& service = item.second;
    while (service.waiting > 0) {
      ClassState* next = NextClass(service, aNow);
      if (next == nullptr || !HasCapacity(service, next->queue.Front()->tokens)) {
        break;
      }
      const AdmissionRequest request = next->queue.Pop();
      next->normalizedServed += request.tokens / ClassWeight(next->limits);
      --service.waiting;
      mReleaseDeadlines.erase({ mReleaseDeadlineOf[request.id], request.id.value });
      mReleaseDeadlineOf.erase(request.id);
      Admit(service, request, true, aNow);
      released.push_back(request);
    }
  }
  return released;
}

std::vector<Refusal> AdmissionQueue::State::OnTime(Time aNow)
{
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& classState : item.second.classes) {
      classState.backoffUntil = classState.backoffUntil <= aNow ? Time{} : classState.backoffUntil;
    }
  }
  std::vector<Refusal> refusals;
  if (mReleaseDeadlines.empty() || mReleaseDeadlines.begin()->first > aNow) {
    return refusals;
  }
  const auto isLate = [aNow](const AdmissionRequest& aRequest) {
    return aRequest.deadline - aRequest.expected <= aNow;
  };
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& classState : item.second.classes) {
      for (const AdmissionRequest& late : classState.queue.RemoveIf(isLate)) {
        --item.second.waiting;
        refusals.push_back({ late.id, RefusalReason::Deadline, Duration{ 0 } });
      }
    }
  }
  for (const Refusal& refusal : refusals) {
    mReleaseDeadlines.erase({ mReleaseDeadlineOf[refusal.id], refusal.id.value });
    mReleaseDeadlineOf.erase(refusal.id);
  }
  return refusals;
}

std::optional<Time> AdmissionQueue::State::NextWakeUp() const
{
  if (mReleaseDeadlines.empty()) {
    return std::nullopt;
  }
  Time next = mReleaseDeadlines.begin()->first;
  for (const std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (const ClassState& classState : item.second.classes) {
      if (classState.queue.Size() > 0 && classState.backoffUntil > Time{}) {
        next = std::min(next, classState.backoffUntil);
      }
    }
  }
  return next;
}

void AdmissionQueue::State::OnFinished(RequestId aId, std::uint32_t aTokens, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return;
  }
  ServiceState& service = mServices[it->second.request.service];
  service.tokensInFlight -= it->second.request.tokens;
  MeasureThroughput(service, it->second.request.tokens, aNow);
  AccountBucket* bucket = BucketOf(it->second.request.account);
  if (bucket != nullptr) {
    bucket->Charge(static_cast<double>(aTokens) - it->second.request.tokens, aNow);
  }
  mInFlight.erase(it);
}

// Throughput is measured only while requests wait. Otherwise it would reflect the demand and not
// the capacity.
void AdmissionQueue::State::MeasureThroughput(ServiceState& aService, std::uint32_t aTokens,
                                              Time aNow)
{
  if (aService.waiting == 0) {
    aService.tokensFinished = 0.0;
    aService.windowStart = aNow;
    return;
  }
  aService.tokensFinished += aTokens;
  const Duration span = aNow - aService.windowStart;
  if (span < kThroughputWindow) {
    return;
  }
  const double rate = aService.tokensFinished / ToSeconds(span);
  aService.tokensPerSecond =
    aService.tokensPerSecond <= 0.0
      ? rate
      : aService.tokensPerSecond + kThroughputSmoothing * (rate - aService.tokensPerSecond);
  aService.tokensFinished = 0.0;
  aService.windowStart = aNow;
}

std::optional<Refusal> AdmissionQueue::State::OnNoCapacity(RequestId aId, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return std::nullopt;
  }
  const AdmittedRequest admitted = it->second;
  const AdmissionRequest& request = admitted.request;
  mInFlight.erase(it);
  ServiceState& service = mServices[request.service];
  service.tokensInFlight -= request.tokens;
  AccountBucket* bucket = BucketOf(request.account);
  if (bucket != nullptr) {
    bucket->Charge(-static_cast<double>(request.tokens), aNow);
  }
  ClassState* target = FindClass(service, request.className);
  if (admitted.wasQueued) {
    target->normalizedServed -= request.tokens / ClassWeight(target->limits);
  }
  target->backoffUntil = aNow + kNoCapacityBackoff;
  if (target->queue.Size() >= target->limits.queueLimit) {
    return Refusal{ aId, RefusalReason::QueueFull, kQueueFullRetryAfter };
  }
  target->queue.Requeue(request, WeightOf(request.account));
  TrackWaiting(service, request);
  return std::nullopt;
}

bool AdmissionQueue::State::Cancel(RequestId aId)
{
  const auto releaseDeadline = mReleaseDeadlineOf.find(aId);
  if (releaseDeadline == mReleaseDeadlineOf.end()) {
    return false;
  }
  mReleaseDeadlines.erase({ releaseDeadline->second, aId.value });
  mReleaseDeadlineOf.erase(releaseDeadline);
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& classState : item.second.classes) {
      if (classState.queue.Remove(aId)) {
        --item.second.waiting;
        return true;
      }
    }
  }
  return false;
}

} // namespace masticstep::admission
