#pragma once

#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>

namespace masticstep::relay {

struct FollowOptions
{
  // The sentinel of a data centre hears from the store at least this often.
  Duration maximumSilence = Seconds(3);
  // Pause between two changes that are taken, so that a series of them costs few calls.
  Duration watchPause = Seconds(1);
  std::uint64_t seed = 0;
};

// Keeps RelayState up to the platform's list of backend servers and its configuration. Each loop
// runs until the process ends.
class Followers : public std::enable_shared_from_this<Followers>
{
public:
  Followers(std::shared_ptr<RelayState> aParts, std::shared_ptr<PlatformFeed> aFeed,
            FollowOptions aOptions);

  net::Task<void> FollowBackends();
  net::Task<void> FollowTable();
  // Reads the whole state again when the daemon may have missed something: the sentinel after a
  // while without an answer, the others when a daemon knows of something newer.
  net::Task<void> GuardBackends();
  net::Task<void> GuardTable();
  // Drops backend servers whose entries stay away after an outage of the store.
  net::Task<void> ExpireBackends();
  // Called after each new configuration.
  void OnTable(std::function<void()> aCallback) { mOnTable = std::move(aCallback); }
  // Replaces the feed and reads the whole state from the new one, for example after a change of the
  // platform's address: the watches that wait at the old one may never be answered.
  void SetFeed(std::shared_ptr<PlatformFeed> aFeed);

private:
  // State of one feed.
  struct Course
  {
    const char* name;
    bool isGood = false;
    bool isWatching = false;    // a watch waits for its answer
    bool hasNewFeed = false;    // and its state has not been read yet
    Time answered{};            // time of the last answer
    Time failed{};              // time of the last failure
    std::uint64_t revision = 0; // of the newest state that was taken
    std::uint64_t hint = 0;     // of another daemon that was followed last
    Time hintSince{};
  };

  net::Task<bool> ListBackends();
  net::Task<bool> ReadRouteTable();
  void Take(const BackendUpdate& aFeed, bool aIsList);
  void Take(const RouteTableUpdate& aFeed);
  void OnAnswer(Course& aCourse);
  void OnError(Course& aCourse, const FeedError& aError);
  // Whether the state must be read now, although a watch waits.
  bool MustRead(Course& aCourse, std::uint64_t aOwn, std::uint64_t aPeers);

  const std::shared_ptr<RelayState> mParts;
  std::shared_ptr<PlatformFeed> mFeed;
  const FollowOptions mOptions;
  std::function<void()> mOnTable;
  Course mBackends{ "backends" };
  Course mTable{ "configuration" };
};

} // namespace masticstep::relay
