#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <optional>
#include <string>

namespace masticstep::relay {

// Answer of this daemon's own that is no success.
struct Refusal
{
  unsigned status = 503;
  std::string reason; // one word for logs and counters
  std::string message;
  std::optional<Duration> retryAfter;

  bool operator==(const Refusal&) const = default;
};

// Refusals that promise that the request has not run and never will.
Refusal NotExecutedRefusal(std::string aReason, std::string aMessage, Duration aRetryAfter);
// Refusal of a request that may have run.
Refusal PossiblyExecutedRefusal(std::string aReason, std::string aMessage);

net::HttpResponse ToResponse(const Refusal& aRefusal);

} // namespace masticstep::relay
