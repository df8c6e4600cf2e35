#pragma once

#include "GatewayParts.hpp"
#include "masticstep/platform_client/HttpObjectStore.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace masticstep::gateway {

// Watches the platform's list of live and leaving hosts, the objects hosts/{backend server} with
// {"name", "state"}, and publishes a drain entry for each leaving backend server. Two daemons per
// data centre watch the list.
class HostListFollower : public std::enable_shared_from_this<HostListFollower>
{
public:
  HostListFollower(std::shared_ptr<GatewayParts> aParts,
                   std::shared_ptr<platform_client::HttpObjectStore> aStore);

  // Runs until Stop() is called.
  net::Task<void> Watch();
  void Stop() { mIsStopped = true; }

private:
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  net::Task<bool> ApplyChange(platform::ObjectChange aChange);
  net::Task<bool> ApplyChanges(std::vector<platform::ObjectChange> aChanges);
  void PublishLeaving(const std::string& aServer, bool aIsLeaving);

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::uint64_t mNextCall = 1;
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
