#include "masticstep/duties/StoreRoles.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstddef>

namespace masticstep::duties {

namespace {

// Two, so that changes are still noticed in time when one loses the store.
constexpr std::size_t kWatchers = 2;
// With fewer peers, following them saves few calls.
constexpr std::size_t kMinimumPeersToFollow = 5;

} // namespace

StoreRoles AssignStoreRoles(const HostName& aOwn, std::vector<StorePeer> aPeers)
{
  const auto hasLowerHash = [](const StorePeer& aLeft, const StorePeer& aRight) {
    return Hash64(aLeft.host.Text()) < Hash64(aRight.host.Text());
  };
  const StorePeer own{ aOwn, false };
  const std::size_t rank = static_cast<std::size_t>(
    std::count_if(aPeers.begin(), aPeers.end(),
                  [&](const StorePeer& aPeer) { return hasLowerHash(aPeer, own); }));
  StoreRoles roles;
  roles.hasFollowers = aPeers.size() >= kMinimumPeersToFollow;
  roles.isWatcher = rank < kWatchers || !roles.hasFollowers;
  const std::size_t ranked = std::min(aPeers.size(), kWatchers);
  std::partial_sort(aPeers.begin(), aPeers.begin() + static_cast<std::ptrdiff_t>(ranked),
                    aPeers.end(), hasLowerHash);
  roles.isPoller = rank == 0 || (rank == 1 && aPeers.front().needsStandby);
  if (roles.hasFollowers) {
    aPeers.resize(rank < kWatchers ? kWatchers - 1 : kWatchers);
  }
  for (const StorePeer& peer : aPeers) {
    roles.otherWatchers.push_back(peer.host);
  }
  return roles;
}

} // namespace masticstep::duties
