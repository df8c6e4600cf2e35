#include "AdmissionState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

// The rate at which a service finishes tokens is averaged over about three windows.
constexpr Duration kRateWindow = Seconds(1);
constexpr double kRateStep = 0.3;

} // namespace

void AdmissionQueue::State::Admit(ServiceState& aService, const AdmissionRequest& aRequest,
                                  bool aWasReleased, Time aNow)
{
  aService.tokensInFlight += aRequest.tokens;
  mInFlight[aRequest.id] = { aRequest, aWasReleased };
  AccountBucket* bucket = BucketOf(aRequest.account);
  if (bucket != nullptr) {
    bucket->Take(aRequest.tokens, aNow);
  }
}

std::vector<AdmissionRequest> AdmissionQueue::State::Release(Time aNow)
{
  std::vector<AdmissionRequest> released;
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    ServiceState& service = item.second;
    while (service.waiting > 0) {
      ClassState* next = NextClass(service, aNow);
      if (next == nullptr || !HasRoom(service, next->queue.Front()->tokens)) {
        break;
      }
      const AdmissionRequest request = next->queue.Pop();
      next->served += request.tokens / ClassWeight(next->limits);
      --service.waiting;
      mLatest.erase({ mLatestOf[request.id], request.id.value });
      mLatestOf.erase(request.id);
      Admit(service, request, true, aNow);
      released.push_back(request);
    }
  }
  return released;
}

std::vector<Refusal> AdmissionQueue::State::OnTime(Time aNow)
{
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& each : item.second.classes) {
      each.restsUntil = each.restsUntil <= aNow ? Time{} : each.restsUntil;
    }
  }
  std::vector<Refusal> refusals;
  if (mLatest.empty() || mLatest.begin()->first > aNow) {
    return refusals;
  }
  const auto isLate = [aNow](const AdmissionRequest& aRequest) {
    return aRequest.deadline - aRequest.expected <= aNow;
  };
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& each : item.second.classes) {
      for (const AdmissionRequest& late : each.queue.RemoveIf(isLate)) {
        --item.second.waiting;
        refusals.push_back({ late.id, RefusalReason::Deadline, Duration{ 0 } });
      }
    }
  }
  for (const Refusal& refusal : refusals) {
    mLatest.erase({ mLatestOf[refusal.id], refusal.id.value });
    mLatestOf.erase(refusal.id);
  }
  return refusals;
}

std::optional<Time> AdmissionQueue::State::NextWakeUp() const
{
  if (mLatest.empty()) {
    return std::nullopt;
  }
  Time next = mLatest.begin()->first;
  for (const std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (const ClassState& each : item.second.classes) {
      if (each.queue.Size() > 0 && each.restsUntil > Time{}) {
        next = std::min(next, each.restsUntil);
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
  Measure(service, it->second.request.tokens, aNow);
  AccountBucket* bucket = BucketOf(it->second.request.account);
  if (bucket != nullptr) {
    bucket->Take(static_cast<double>(aTokens) - it->second.request.tokens, aNow);
  }
  mInFlight.erase(it);
}

// Measures only while requests wait; otherwise demand and not capacity would be measured.
void AdmissionQueue::State::Measure(ServiceState& aService, std::uint32_t aTokens, Time aNow)
{
  if (aService.waiting == 0) {
    aService.tokensFinished = 0.0;
    aService.windowStart = aNow;
    return;
  }
  aService.tokensFinished += aTokens;
  const Duration span = aNow - aService.windowStart;
  if (span < kRateWindow) {
    return;
  }
  const double rate = aService.tokensFinished / ToSeconds(span);
  aService.tokensPerSecond =
    aService.tokensPerSecond <= 0.0
      ? rate
      : aService.tokensPerSecond + kRateStep * (rate - aService.tokensPerSecond);
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
    bucket->Take(-static_cast<double>(request.tokens), aNow);
  }
  ClassState* target = FindClass(service, request.className);
  if (admitted.wasReleased) {
    target->served -= request.tokens / ClassWeight(target->limits);
  }
  target->restsUntil = aNow + kNoCapacityBackoff;
  if (target->queue.Size() >= target->limits.queueLimit) {
    return Refusal{ aId, RefusalReason::QueueFull, kRetryAfterFull };
  }
  target->queue.Return(request, WeightOf(request.account));
  Enqueue(service, request);
  return std::nullopt;
}

bool AdmissionQueue::State::Cancel(RequestId aId)
{
  const auto latest = mLatestOf.find(aId);
  if (latest == mLatestOf.end()) {
    return false;
  }
  mLatest.erase({ latest->second, aId.value });
  mLatestOf.erase(latest);
  for (std::pair<const ServiceName, ServiceState>& item : mServices) {
    for (ClassState& each : item.second.classes) {
      if (each.queue.Remove(aId)) {
        --item.second.waiting;
        return true;
      }
    }
  }
  return false;
}

} // namespace masticstep::admission
