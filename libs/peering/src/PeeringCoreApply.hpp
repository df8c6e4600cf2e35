#pragma once

#include "PeeringCore.hpp"
#include "masticstep/net/Clock.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace masticstep {

template <class Call>
void Peering::Core::Apply(Call aCall)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  PeerActions actions = aCall(*mStateMachine, net::Now());
  // Posted while holding the lock, so that actions are executed in the order of the calls.
  boost::asio::post(mStrand, [self = shared_from_this(), moved = std::move(actions)]() mutable {
    self->ExecuteActions(std::move(moved));
  });
}

template <class Call>
auto Peering::Core::Read(Call aCall) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return aCall(*mStateMachine);
}

} // namespace masticstep
