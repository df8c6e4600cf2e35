#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/dispatch/RouteTable.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::relay {

enum class FeedErrorKind : std::uint8_t
{
  Unavailable, // no response, or a temporary refusal
  HistoryGone, // the history after the revision has been discarded; a new list is needed
  Malformed
};

struct FeedError
{
  FeedErrorKind kind = FeedErrorKind::Unavailable;
  std::string detail;
};

// Change of one backend server's entry. No value for backend means that the entry was removed or
// cannot be parsed, so that the backend server must not be used.
struct BackendChange
{
  BackendServerName id;
  std::optional<dispatch::Backend> backend;
  platform::Version revision; // of the entry
  std::string problem{};      // why a present entry names no backend server to use; else empty

  bool operator==(const BackendChange&) const = default;
};

// Full list or changes, up to a revision of the platform's store.
struct BackendUpdate
{
  std::vector<BackendChange> changes;
  platform::Version revision;
  std::size_t unreadable = 0; // entries whose names cannot be read
};

struct RouteTableUpdate
{
  std::shared_ptr<const dispatch::RouteTable> table; // null if unchanged, absent or invalid
  platform::Version revision;
  bool isInvalid = false; // the newest configuration cannot be used
};

// Source of the platform's list of backend servers and its configuration. A watch is a long poll
// and returns without changes when the wait is over.
class PlatformFeed
{
public:
  virtual ~PlatformFeed() = default;

  virtual net::Task<Result<BackendUpdate, FeedError>> ListBackends() = 0;
  virtual net::Task<Result<BackendUpdate, FeedError>> WatchBackends(platform::Version aRevision,
                                                                    Duration aWait) = 0;
  virtual net::Task<Result<RouteTableUpdate, FeedError>> ReadRouteTable() = 0;
  virtual net::Task<Result<RouteTableUpdate, FeedError>> WatchRouteTable(
    platform::Version aRevision, Duration aWait) = 0;
};

} // namespace masticstep::relay
