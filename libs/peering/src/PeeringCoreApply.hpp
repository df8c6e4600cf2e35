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
  PeerActions actions = aCall(*mMachine, net::Now());
  // Posted under the lock, so that actions are carried out in the order of the calls.
  boost::asio::post(mStrand, [self = shared_from_this(), moved = std::move(actions)]() mutable {
    self->Carry(std::move(moved));
  });
}

template <class Call>
auto Peering::Core::Read(Call aCall) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return aCall(*mMachine);
}

} // namespace masticstep
