#pragma once

#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <memory>

namespace masticstep::relay {

// Passes calls on to the platform's store and notes in RelayState::storeReach whether it answers.
// Callbacks must run on the executor of the state.
class ReachTrackingStore : public platform::ObjectStore
{
public:
  ReachTrackingStore(std::shared_ptr<RelayState> aState,
                     std::shared_ptr<platform::ObjectStore> aStore);

  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override;

private:
  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<platform::ObjectStore> mStore;
};

} // namespace masticstep::relay
