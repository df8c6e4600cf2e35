#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/dispatch/RouteTable.hpp"
#include "masticstep/net/Task.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::relay {

enum class FeedErrorKind : std::uint8_t
{
  Unavailable, // no answer, or a refusal for now
  HistoryGone, // the changes after the revision are no longer kept; list again
  Malformed
};

struct FeedError
{
  FeedErrorKind kind = FeedErrorKind::Unavailable;
  std::string detail;
};

// Entry of one backend server; without a description it was removed or cannot be read, and then
// names no backend server to use.
struct BackendChange
{
  BackendServerName id;
  std::optional<dispatch::Backend> backend;
  std::uint64_t revision = 0; // of the entry

  bool operator==(const BackendChange&) const = default;
};

// State or changes up to a revision of the platform's store.
struct BackendUpdate
{
  std::vector<BackendChange> changes;
  std::uint64_t revision = 0;
};

struct RouteTableUpdate
{
  std::shared_ptr<const dispatch::RouteTable> table; // null if it did not change or is not there
  std::uint64_t revision = 0;
};

// The platform's list of backend servers and its configuration. A watch waits for changes for a
// while and may return none.
class PlatformFeed
{
public:
  virtual ~PlatformFeed() = default;

  virtual net::Task<Result<BackendUpdate, FeedError>> ListBackends() = 0;
  virtual net::Task<Result<BackendUpdate, FeedError>> WatchBackends(std::uint64_t aRevision) = 0;
  virtual net::Task<Result<RouteTableUpdate, FeedError>> ReadRouteTable() = 0;
  virtual net::Task<Result<RouteTableUpdate, FeedError>> WatchRouteTable(
    std::uint64_t aRevision) = 0;
};

} // namespace masticstep::relay
