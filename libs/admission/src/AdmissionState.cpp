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
    ClassState* known = FindClass(service, limits.name);
    if (known != nullptr) {
      known->limits = limits;
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

bool AdmissionQueue::State::HasRoom(const ServiceState& aService, std::uint32_t aTokens) const
{
  // A request larger than the whole capacity may run alone.
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
  if (bucket != nullptr && !bucket->HasRoom(aNow)) {
    return Refuse(aRequest, RefusalReason::AccountLimit, bucket->WaitAt(aNow));
  }
  if (!MustWait(service->second, *target, aNow) && HasRoom(service->second, aRequest.tokens)) {
    Admit(service->second, aRequest, false, aNow);
    return { AdmissionKind::Admitted, {} };
  }
  const std::size_t limit = target->limits.queueLimit;
  if (target->queue.Size() >= limit) {
    return Refuse(aRequest, RefusalReason::QueueFull, kRetryAfterFull);
  }
  const std::size_t accountLimit = std::max<std::size_t>(
    1, static_cast<std::size_t>(static_cast<double>(limit) * mOptions.accountQueueShare));
  if (target->queue.SizeOf(aRequest.account) >= accountLimit) {
    return Refuse(aRequest, RefusalReason::AccountQueueFull, kRetryAfterFull);
  }
  const Duration wait = FromSeconds(ExpectedWait(service->second, *target, aRequest));
  if (aNow + wait + aRequest.expected >= aRequest.deadline) {
    return Refuse(aRequest, RefusalReason::Deadline, wait);
  }
  if (target->queue.Size() == 0) {
    // A class that was idle gets no credit for that time.
    const ClassState* next = NextClass(service->second, aNow);
    target->served = next == nullptr ? target->served : std::max(target->served, next->served);
  }
  target->queue.Push(aRequest, WeightOf(aRequest.account));
  Enqueue(service->second, aRequest);
  return { AdmissionKind::Queued, {} };
}

void AdmissionQueue::State::Enqueue(ServiceState& aService, const AdmissionRequest& aRequest)
{
  ++aService.waiting;
  const Time latest = aRequest.deadline - aRequest.expected;
  mLatest.emplace(latest, aRequest.id.value);
  mLatestOf[aRequest.id] = latest;
}

bool AdmissionQueue::State::MustWait(ServiceState& aService, const ClassState& aClass, Time aNow)
{
  return aClass.queue.Size() > 0 || aNow < aClass.restsUntil ||
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
  constexpr double kLongestWait = 3600.0;
  return std::min(kLongestWait,
                  ahead * weights / ClassWeight(aClass.limits) / aService.tokensPerSecond);
}

AdmissionQueue::State::ClassState* AdmissionQueue::State::NextClass(ServiceState& aService,
                                                                    Time aNow)
{
  ClassState* next = nullptr;
  for (ClassState& item : aService.classes) {
    if (item.queue.Size() > 0 && aNow >= item.restsUntil &&
        (next == nullptr || item.served < next->served)) {
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
  return mLatestOf.size();
}

std::uint64_t AdmissionQueue::State::TokensInFlight(const ServiceName& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? 0 : it->second.tokensInFlight;
}

} // namespace masticstep::admission
