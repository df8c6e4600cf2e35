#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::admission {

enum class RefusalReason : std::uint8_t
{
  UnknownClass,
  AccountLimit,     // HTTP 429
  QueueFull,        // HTTP 503
  AccountQueueFull, // HTTP 429
  Deadline          // HTTP 504; it has passed or can no longer be met
};

// A request that was not released. No byte of it has reached a backend server.
struct Refusal
{
  RequestId id;
  RefusalReason reason = RefusalReason::QueueFull;
  Duration retryAfter{ 0 };

  bool operator==(const Refusal&) const = default;
};

} // namespace masticstep::admission
