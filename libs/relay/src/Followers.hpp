#pragma once

#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayParts.hpp"

#include <functional>
#include <memory>

namespace masticstep::relay {

// Keeps RelayParts up to the platform's list of backend servers and its configuration. Each loop
// runs until the process ends.
class Followers : public std::enable_shared_from_this<Followers>
{
public:
  Followers(std::shared_ptr<RelayParts> aParts, std::shared_ptr<PlatformFeed> aFeed,
            std::uint64_t aSeed);

  net::Task<void> FollowBackends();
  net::Task<void> FollowTable();
  // Drops backend servers whose entries stay away after an outage of the store.
  net::Task<void> ExpireBackends();
  // Called after each new configuration.
  void OnTable(std::function<void()> aCallback) { mOnTable = std::move(aCallback); }
  // Replaces the feed, for example after a change of its address.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);

private:
  void Take(const BackendFeed& aFeed, bool aIsList);
  void Take(const TableFeed& aFeed);
  void OnFeedError(const char* aFeed, const FeedError& aError, bool aWasGood);

  const std::shared_ptr<RelayParts> mParts;
  std::shared_ptr<PlatformFeed> mFeed;
  std::function<void()> mOnTable;
  std::uint64_t mSeed;
};

} // namespace masticstep::relay
