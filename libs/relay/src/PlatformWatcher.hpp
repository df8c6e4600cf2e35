#pragma once

#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>

namespace masticstep::relay {

struct WatchOptions
{
  // The sentinel of a data centre hears from the store at least this often.
  Duration maximumSilence = Seconds(3);
  // Pause between two changes that are taken, so that a series of them costs few calls.
  Duration watchPause = Seconds(1);
  std::uint64_t seed = 0;
};

// Keeps RelayState up to the platform's list of backend servers and its configuration. Each loop
// runs until the process ends.
class PlatformWatcher : public std::enable_shared_from_this<PlatformWatcher>
{
public:
  PlatformWatcher(std::shared_ptr<RelayState> aState, std::shared_ptr<PlatformFeed> aFeed,
                  WatchOptions aOptions);

  net::Task<void> RunBackendWatch();
  net::Task<void> RunRouteTableWatch();
  // Reads the whole state again when the daemon may have missed something: the sentinel after a
  // while without an answer, the others when a daemon knows of something newer.
  net::Task<void> RunBackendResync();
  net::Task<void> RunRouteTableResync();
  // Drops backend servers whose entries stay away after an outage of the store.
  net::Task<void> RunBackendExpiry();
  // Called after each new configuration.
  void OnRouteTable(std::function<void()> aCallback) { mOnRouteTable = std::move(aCallback); }
  // Replaces the feed and reads the whole state from the new one, for example after a change of the
  // platform's address: the watches that wait at the old one may never be lastAnswer.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);

private:
  // State of one feed.
  struct FeedState
  {
    const char* name;
    bool isConnected = false;
    bool isWatching = false;    // a watch waits for its answer
    bool hasNewFeed = false;    // and its state has not been read yet
    Time lastAnswer{};          // time of the last answer
    Time lastFailure{};         // time of the last failure
    std::uint64_t revision = 0; // of the newest state that was taken
    std::uint64_t lastHint = 0; // of another daemon that was followed last
    Time hintSince{};
  };

  net::Task<bool> ListBackends();
  net::Task<bool> ReadRouteTable();
  void Apply(const BackendUpdate& aFeed, bool aIsSnapshot);
  void Apply(const RouteTableUpdate& aFeed);
  void OnAnswer(FeedState& aFeedState);
  void OnError(FeedState& aFeedState, const FeedError& aError);
  // Whether the state must be read now, although a watch waits.
  bool NeedsResync(FeedState& aFeedState, std::uint64_t aOwnVersion, std::uint64_t aPeerVersion);

  const std::shared_ptr<RelayState> mState;
  std::shared_ptr<PlatformFeed> mFeed;
  const WatchOptions mOptions;
  std::function<void()> mOnRouteTable;
  FeedState mBackendFeed{ "backends" };
  FeedState mRouteTableFeed{ "configuration" };
};

} // namespace masticstep::relay
