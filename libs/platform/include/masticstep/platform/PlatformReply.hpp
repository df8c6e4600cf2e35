#pragma once

#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::platform {

enum class PlatformStatus
{
  Done,        // the call took effect
  NotFound,    // the object does not exist
  Conflict,    // the expected version is not the current one; nothing changed
  TooLarge,    // the body exceeds kMaximumObjectBytes; nothing changed
  Refused,     // rate limit, outage or bad request; nothing changed
  HistoryGone, // watch only: changes after the revision were discarded; list again
  NotSent,     // no byte of the request left this host
  // The request was sent and no usable response arrived. It may have taken effect, and it may still
  // do so after the caller has read the object back.
  Unknown
};

// Returns whether a call with this status is guaranteed to have no effect, now or later.
constexpr bool IsDefinitelyNotApplied(PlatformStatus aStatus)
{
  return aStatus != PlatformStatus::Done && aStatus != PlatformStatus::Unknown;
}

// One object of a listing, or one change reported by a watch.
struct ObjectChange
{
  ObjectKey key;
  Version version;
  bool deleted = false;
  std::string body{}; // empty unless the platform includes it

  auto operator<=>(const ObjectChange&) const = default;
};

struct PlatformReply
{
  std::uint64_t number = 0; // of the request
  PlatformStatus status = PlatformStatus::Unknown;
  std::optional<Version> version;  // of a read or written object
  std::string body;                // of a read object
  std::uint64_t revision = 0;      // of a listing or watch
  std::vector<ObjectChange> items; // of a listing or watch
  bool hasMore = false;            // of a listing: continue after the last key
  std::uint64_t era = 0;           // of the store; see Version. 0 without a response
  std::size_t unreadable = 0;      // items of a listing or watch whose key cannot be read

  auto operator<=>(const PlatformReply&) const = default;
};

} // namespace masticstep::platform
