#include "ReachTrackingStore.hpp"

#include "masticstep/net/Clock.hpp"

#include <utility>
#include <variant>

namespace masticstep::relay {

using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

bool IsAnswer(PlatformStatus aStatus)
{
  return aStatus != PlatformStatus::NotSent && aStatus != PlatformStatus::Refused &&
         aStatus != PlatformStatus::Unknown;
}

} // namespace

ReachTrackingStore::ReachTrackingStore(std::shared_ptr<RelayState> aState,
                                       std::shared_ptr<platform::ObjectStore> aStore)
  : mState(std::move(aState))
  , mStore(std::move(aStore))
{
}

void ReachTrackingStore::Submit(platform::PlatformRequest aRequest, Callback aCallback)
{
  if (!std::holds_alternative<platform::WatchRequest>(aRequest.call)) {
    mState->storeReach.OnSent(net::Now());
  }
  mStore->Submit(std::move(aRequest),
                 [state = mState, callback = std::move(aCallback)](PlatformReply aReply) {
                   if (IsAnswer(aReply.status)) {
                     state->storeReach.OnAnswered(net::Now());
                   }
                   callback(std::move(aReply));
                 });
}

} // namespace masticstep::relay
