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

// Applies new configurations. The watchers of a data centre read them from the platform and
// distribute them to the peers; all other daemons receive them from peers.
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower>
{
public:
  ConfigurationFollower(std::shared_ptr<GatewayParts> aParts,
                        std::shared_ptr<platform_client::HttpObjectStore> aStore);

  // Watches the platform while this daemon is one of the watchers, until Stop() is called.
  net::Task<void> Watch();
  // Publishes to the peers which generation is in force at this daemon. One watcher reports the
  // lowest generation of the data centre to the platform, where `publish --wait` reads it. Runs
  // until Stop() is called.
  net::Task<void> ReportInForce();
  // Handles a configuration from a peer.
  void OnBundle(const ConfigurationBundle& aBundle);
  void Stop() { mIsStopped = true; }

private:
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  // Reads the manifest and the missing contents. Returns false if the read must be retried.
  net::Task<bool> ReadManifest();
  net::Task<bool> ReadContent(std::string aDigest);
  // Passes a manifest or a content to the tracker and applies a complete configuration. Returns the
  // digests of the missing contents.
  std::vector<std::string> AddDocument(const std::string& aText, bool aIsManifest);
  void PublishApplied(const publication::TrackerActions& aActions);
  ConfigurationBundle MakeBundle();
  publication::InForceReport LowestInForce() const;
  net::Task<bool> WriteReport(publication::InForceReport aReport);
  bool IsWatcher() const;

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform_client::HttpObjectStore> mStore;
  std::mutex mMutex; // guards mTracker; outermost lock
  publication::GenerationTracker mTracker;
  std::atomic<std::uint64_t> mNextCall{ 1 };
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
