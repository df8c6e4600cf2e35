#pragma once

#include "GatewayParts.hpp"
#include "masticstep/platform_client/HttpObjectStore.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace masticstep::gateway {

// Follows the platform's list of live and leaving hosts, objects hosts/{backend server} with
// {"name", "state"}, and tells all daemons by drain entries which backend servers leave. Two
// daemons of a data centre do so.
class HostListFollower : public std::enable_shared_from_this<HostListFollower>
{
public:
  HostListFollower(std::shared_ptr<GatewayParts> aParts,
                   std::shared_ptr<platform_client::HttpObjectStore> aStore);

  // Runs until Stop.
  net::Task<void> Watch();
  void Stop() { mIsStopped = true; }

private:
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  net::Task<bool> TakeChange(platform::ObjectChange aChange);
  net::Task<bool> TakeChanges(std::vector<platform::ObjectChange> aChanges);
  void SetLeaving(const std::string& aServer, bool aIsLeaving);

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::uint64_t mNextCall = 1;
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
