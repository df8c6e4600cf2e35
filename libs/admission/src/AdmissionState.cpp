#include "AdmissionState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

AdmissionDecision Refuse(const AdmissionRequest& aRequest, RefusalReason aReason,
                         Duration aRetryAfter)
{
  return { AdmissionKind::Refused, { aRequest.id, aReason, aRetryAfter } };
}

} // namespace

AdmissionQueue::State::State(AdmissionOptions aOptions)
{
  SetOptions(std::move(aOptions));
}

void AdmissionQueue::State::SetOptions(AdmissionOptions aOptions)
{
  mOptions = std::move(aOptions);
  for (const ClassLimits& limits : mOptions.classes) {
    ServiceState& service = mServices[limits.service];
    ClassState* existing = FindClass(service, limits.name);
    if (existing != nullptr) {
      existing->limits = limits;
    } else {
      service.classes.push_back({ limits, FairQueue(mOptions.quantumTokens), 0.0 });
    }
  }
  for (const AccountLimits& limits : mOptions.accounts) {
    AccountState& account = mAccounts[limits.name];
    account.weight = std::max(1e-3, limits.weight);
    if (limits.tokensPerSecond <= 0.0) {
      account.bucket.reset();
    } else if (account.bucket.has_value()) {
      account.bucket->SetLimits(limits.tokensPerSecond, limits.burstTokens);
    } else {
      account.bucket.emplace(limits.tokensPerSecond, limits.burstTokens);
    }
  }
}

AdmissionQueue::State::ClassState* AdmissionQueue::State::FindClass(ServiceState& aService,
                                                                    const ClassName& aName)
{
  for (ClassState& item : aService.classes) {
    if (item.limits.name == aName) {
      return &item;
    }
  }
  return nullptr;
}

double AdmissionQueue::State::WeightOf(const AccountName& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 1.0 : it->second.weight;
}

AccountBucket* AdmissionQueue::State::BucketOf(const AccountName& aAccount)
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() || !it->second.bucket ? nullptr : &*it->second.bucket;
}

bool AdmissionQueue::State::HasCapacity(const ServiceState& aService, std::uint32_t aTokens) const
{
  // A request larger than the whole capacity may run if it is the only one.
  return aService.tokensInFlight == 0 || aService.tokensInFlight + aTokens <= aService.capacity;
}

AdmissionDecision AdmissionQueue::State::Offer(const AdmissionRequest& aRequest, Time aNow)
{
  const auto service = mServices.find(aRequest.service);
  ClassState* target =
    service == mServices.end() ? nullptr : FindClass(service->second, aRequest.className);
  if (target == nullptr) {
    return Refuse(aRequest, RefusalReason::UnknownClass, Duration{ 0 });
  }
  if (aNow + aRequest.expected >= aRequest.deadline) {
    return Refuse(aRequest, RefusalReason::Deadline, Duration{ 0 });
  }
  AccountBucket* bucket = BucketOf(aRequest.account);
  if (bucket != nullptr && !bucket->HasPositiveBalance(aNow)) {
    return Refuse(aRequest, RefusalReason::AccountLimit, bucket->TimeUntilPositive(aNow));
  }
  if (!MustWait(service->second, *target, aNow) && HasCapacity(service->second, aRequest.tokens)) {
    Admit(service->second, aRequest, false, aNow);
    return { AdmissionKind::Admitted, {} };
  }
  const std::size_t limit = target->limits.queueLimit;
  if (target->queue.Size() >= limit) {
    return Refuse(aRequest, RefusalReason::QueueFull, kQueueFullRetryAfter);
  }
  const std::size_t accountLimit = std::max<std::size_t>(
    1, static_cast<std::size_t>(static_cast<double>(limit) * mOptions.accountQueueShare));
  if (target->queue.SizeOf(aRequest.account) >= accountLimit) {
    return Refuse(aRequest, RefusalReason::AccountQueueFull, kQueueFullRetryAfter);
  }
  const Duration wait = FromSeconds(ExpectedWait(service->second, *target, aRequest));
  if (aNow + wait + aRequest.expected >= aRequest.deadline) {
    return Refuse(aRequest, RefusalReason::Deadline, wait);
  }
  if (target->queue.Size() == 0) {
    // A class gets no credit for the time it was idle.
    const ClassState* next = NextClass(service->second, aNow);
    target->normalizedServed = next == nullptr
                                 ? target->normalizedServed
                                 : std::max(target->normalizedServed, next->normalizedServed);
  }
  target->queue.Push(aRequest, WeightOf(aRequest.account));
  TrackWaiting(service->second, aRequest);
  return { AdmissionKind::Queued, {} };
}

void AdmissionQueue::State::TrackWaiting(ServiceState& aService, const AdmissionRequest& aRequest)
{
  ++aService.waiting;
  const Time releaseDeadline = aRequest.deadline - aRequest.expected;
  mReleaseDeadlines.emplace(releaseDeadline, aRequest.id.value);
  mReleaseDeadlineOf[aRequest.id] = releaseDeadline;
}

bool AdmissionQueue::State::MustWait(ServiceState& aService, const ClassState& aClass, Time aNow)
{
  return aClass.queue.Size() > 0 || aNow < aClass.backoffUntil ||
         NextClass(aService, aNow) != nullptr;
}

double AdmissionQueue::State::ExpectedWait(const ServiceState& aService, const ClassState& aClass,
                                           const AdmissionRequest& aRequest) const
{
  if (aService.tokensPerSecond <= 0.0) {
    return 0.0;
  }
  double weights = 0.0;
  for (const ClassState& item : aService.classes) {
    if (item.queue.Size() > 0 || &item == &aClass) {
      weights += ClassWeight(item.limits);
    }
  }
  const double ahead = aClass.queue.TokensAhead(aRequest.account, WeightOf(aRequest.account));
  constexpr double kMaximumWaitSeconds = 3600.0;
  return std::min(kMaximumWaitSeconds,
                  ahead * weights / ClassWeight(aClass.limits) / aService.tokensPerSecond);
}

AdmissionQueue::State::ClassState* AdmissionQueue::State::NextClass(ServiceState& aService,
                                                                    Time aNow)
{
  ClassState* next = nullptr;
  for (ClassState& item : aService.classes) {
    if (item.queue.Size() > 0 && aNow >= item.backoffUntil &&
        (next == nullptr || item.normalizedServed < next->normalizedServed)) {
      next = &item;
    }
  }
  return next;
}

void AdmissionQueue::State::SetCapacity(const ServiceName& aService, std::uint64_t aTokens)
{
  mServices[aService].capacity = aTokens;
}

void AdmissionQueue::State::SetShare(const AccountName& aAccount, double aShare, Time aNow)
{
  AccountBucket* bucket = BucketOf(aAccount);
  if (bucket != nullptr) {
    bucket->SetShare(aShare, aNow);
  }
}

std::size_t AdmissionQueue::State::Waiting() const
{
  return mReleaseDeadlineOf.size();
}

std::uint64_t AdmissionQueue::State::TokensInFlight(const ServiceName& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.tokensInFlight;
}

} // namespace masticstep::admission
