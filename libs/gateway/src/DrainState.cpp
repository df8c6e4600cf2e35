#include "DrainState.hpp"

namespace masticstep::gateway {

bool DrainState::Advance(DrainPhase aPhase)
{
  DrainPhase current = mPhase.load();
  while (current < aPhase) {
    if (mPhase.compare_exchange_weak(current, aPhase)) {
      return true;
    }
  }
  return false;
}

} // namespace masticstep::gateway
