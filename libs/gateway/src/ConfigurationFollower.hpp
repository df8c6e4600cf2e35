#pragma once

#include "GatewayParts.hpp"
#include "masticstep/platform_client/HttpObjectStore.hpp"
#include "masticstep/publication/GenerationTracker.hpp"
#include "masticstep/publication/InForceReport.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace masticstep::gateway {

// Follows the configuration. The watchers of a data centre read it from the platform and pass it on
// to the peers; all other daemons get it from peers.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower>
{
public:
  ConfigurationFollower(std::shared_ptr<GatewayParts> aParts,
                        std::shared_ptr<platform_client::HttpObjectStore> aStore);

  // Watches the platform while this daemon is one of the watchers, until Stop.
  net::Task<void> Watch();
  // Tells the peers which generation is in force here. One watcher reports the lowest generation of
  // the data centre to the platform, which `publish --wait` reads. Runs until Stop.
  net::Task<void> ReportInForce();
  // Takes a generation from a peer.
  void OnBundle(const ConfigurationBundle& aBundle);
  void Stop() { mIsStopped = true; }

private:
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  // Reads the manifest and the contents that are missing. Returns false if it must be tried again.
  net::Task<bool> Read();
  net::Task<bool> ReadContent(std::string aDigest);
  // Returns the digests that are wanted.
  std::vector<std::string> Offer(const std::string& aText, bool aIsManifest);
  void PassOn(const publication::TrackerActions& aActions);
  ConfigurationBundle Bundle();
  publication::InForceReport LowestInForce() const;
  net::Task<bool> WriteReport(publication::InForceReport aReport);
  bool IsWatcher() const;

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::mutex mMutex; // of the tracker; the outermost lock
  publication::GenerationTracker mTracker;
  std::atomic<std::uint64_t> mNextCall{ 1 };
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
