#pragma once

#include "RejectedEntries.hpp"
#include "masticstep/net/Signal.hpp"
#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace masticstep::relay {

struct WatchOptions
{
  // Longest time without a response from the store before the store poller (see StoreSyncState)
  // reads the whole state.
  Duration maximumSilence = Seconds(3);
  // Pause after a watch that returned changes, so that a series of changes costs few calls. It also
  // sets how long a daemon relies on peers that watch the store for it: three pauses after the
  // latest response that a peer had.
  Duration watchPause = Seconds(1);
  std::uint64_t seed = 0;
  // Time after the start before the first watch, in which a daemon learns whether it is a follower.
  Duration electionTime{ 0 };
  // Longest watch of the configuration by the store poller, if keys are only accepted by a
  // configuration that is known to be new; zero if there is no such limit.
  Duration routeTableWatch{ 0 };
};

// Keeps RelayState in sync with the platform's list of backend servers and its configuration. Each
// Run function is a loop that runs until the process exits.
class PlatformWatcher : public std::enable_shared_from_this<PlatformWatcher>
{
public:
  PlatformWatcher(std::shared_ptr<RelayState> aState, std::shared_ptr<PlatformFeed> aFeed,
                  WatchOptions aOptions);

  net::Task<void> RunBackendWatch();
  net::Task<void> RunRouteTableWatch();
  // Reads the whole state again when the daemon may have missed changes: on the store poller after
  // maximumSilence without a response, on other daemons when a peer reports a newer state.
  net::Task<void> RunBackendResync();
  net::Task<void> RunRouteTableResync();
  // Reads the whole list of backend servers. Returns false if the store does not answer.
  net::Task<bool> ListBackends();
  // Removes backend servers whose entries do not reappear after a store outage.
  net::Task<void> RunBackendExpiry();
  // Reads the configuration. Returns false if the store does not answer.
  net::Task<bool> ReadRouteTable();
  // Sets the function that is called after each new configuration.
  void OnRouteTable(std::function<void()> aCallback) { mOnRouteTable = std::move(aCallback); }
  // Replaces the feed and reads the whole state from the new one, for example after a change of the
  // platform's address. Pending watches at the old address may never return.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);

private:
  // Of a configuration that is absent or cannot be used.
  static constexpr std::uint64_t kNoVersion = UINT64_MAX;

  // Sync state of one kind of object in the feed.
  struct FeedState
  {
    const char* name;
    bool isConnected = false;                // the last call succeeded
    bool isWatching = false;                 // a watch is pending
    std::shared_ptr<net::Signal> watchEnd{}; // ends the wait for the pending watch
    std::uint64_t recoveriesBefore = 0;      // of the store, when the pending watch was sent
    Time watchReplacedAt{};
    bool hasNewFeed = false; // the feed was replaced and its state has not been read yet
    Time lastResponse{};
    Time lastFailure{};
    platform::Version revision{};            // of the newest state that was applied
    platform::Version lastPeerVersionRead{}; // last peer version that caused a read
    std::uint64_t lastEraRead = 0;           // last era of the store that caused a read
    Time peerIsNewerSince{}; // when a peer first reported a newer version; zero if none did
  };

  void Apply(const BackendUpdate& aUpdate, bool aIsSnapshot);
  void Apply(const RouteTableUpdate& aUpdate);
  // Takes into account that the answer to a request sent at aSentAt told the newest configuration.
  void NoteReading(const RouteTableUpdate& aUpdate, std::uint64_t aVersionBefore, Time aSentAt);
  Duration RouteTableWatchTime() const;
  void OnResponse(FeedState& aFeedState, platform::Version aRevision);
  void OnError(FeedState& aFeedState, const FeedError& aError);
  // Returns whether peers follow the store for this daemon.
  bool IsFollower() const;
  // Returns how long a watch may wait. The store poller ends its watches after aPollerTime, since
  // its peers must learn soon that it lost the store.
  Duration WatchTime(Duration aPollerTime) const;
  // Waits until this daemon must call the store itself: at once, unless it is a follower, and
  // otherwise when aHasNews returns true or the peers lose the store.
  net::Task<void> WaitForNews(const FeedState& aFeedState, std::function<bool()> aHasNews);
  // Sends a watch and waits for its answer. Returns nullopt if the watch must be sent anew, since
  // the store may have lost it.
  template <class Reply>
  net::Task<std::optional<Reply>> AwaitWatch(FeedState& aFeedState,
                                             std::function<net::Task<Reply>()> aWatch);
  // Lets a watch be sent anew if it was pending while the store was lost: a store that falls silent
  // drops the watches that reach it then, and tells nobody.
  void ReplaceDoubtfulWatch(FeedState& aFeedState);
  // Counts how often this daemon or a peer has reached the store again.
  std::uint64_t Recoveries() const;
  // Returns whether the whole state must be read now, even while a watch is pending.
  bool NeedsResync(FeedState& aFeedState, platform::Version aOwnVersion,
                   platform::Version aPeerVersion);
  // Returns whether an update up to a revision may be applied. One that the store sent before it
  // was restored from an older copy came too late.
  bool MayApply(FeedState& aFeedState, platform::Version aRevision);

  const std::shared_ptr<RelayState> mState;
  std::shared_ptr<PlatformFeed> mFeed;
  const WatchOptions mOptions;
  const Time mElectionEnd;
  std::function<void()> mOnRouteTable;
  RejectedEntries mRejectedEntries;
  FeedState mBackendFeed{ .name = "backends" };
  FeedState mRouteTableFeed{ .name = "configuration" };
  std::uint64_t mNewestVersionRead = kNoVersion; // of the configuration
};

} // namespace masticstep::relay
