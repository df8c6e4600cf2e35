#include "masticstep/admission/AdmissionQueue.hpp"

#include "AdmissionState.hpp"

#include <utility>

namespace masticstep::admission {

AdmissionQueue::AdmissionQueue(AdmissionOptions aOptions)
  : mState(std::make_unique<State>(std::move(aOptions)))
{
}

AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;
AdmissionQueue::~AdmissionQueue() = default;

AdmissionDecision AdmissionQueue::Offer(const AdmissionRequest& aRequest, Time aNow)
{
  return mState->Offer(aRequest, aNow);
}

std::vector<AdmissionRequest> AdmissionQueue::Release(Time aNow)
{
  return mState->Release(aNow);
}

std::vector<Refusal> AdmissionQueue::OnTime(Time aNow)
{
  return mState->OnTime(aNow);
}

std::optional<Time> AdmissionQueue::NextWakeUp() const
{
  return mState->NextWakeUp();
}

void AdmissionQueue::OnFinished(RequestId aId, std::uint32_t aTokens, Time aNow)
{
  mState->OnFinished(aId, aTokens, aNow);
}

std::optional<Refusal> AdmissionQueue::OnNoCapacity(RequestId aId, Time aNow)
{
  return mState->OnNoCapacity(aId, aNow);
}

bool AdmissionQueue::Cancel(RequestId aId)
{
  return mState->Cancel(aId);
}

void AdmissionQueue::SetCapacity(const ServiceName& aService, std::uint64_t aTokens)
{
  mState->SetCapacity(aService, aTokens);
}

void AdmissionQueue::SetShare(const AccountName& aAccount, double aShare, Time aNow)
{
  mState->SetShare(aAccount, aShare, aNow);
}

void AdmissionQueue::SetOptions(AdmissionOptions aOptions)
{
  mState->SetOptions(std::move(aOptions));
}

std::size_t AdmissionQueue::Waiting() const
{
  return mState->Waiting();
}

std::size_t AdmissionQueue::InFlight() const
{
  return mState->InFlight();
}

std::uint64_t AdmissionQueue::TokensInFlight(const ServiceName& aService) const
{
  return mState->TokensInFlight(aService);
}

} // namespace masticstep::admission
