#pragma once

#include "RunState.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <optional>
#include <string>

namespace masticstep::gateway {

// Answer to a request that is not answered in full.
struct Refusal
{
  unsigned status = 503;
  std::string type; // machine-readable reason, such as "overload"
  std::string message;
  RunState run = RunState::NotRun;
  std::optional<Duration> retryAfter;

  bool operator==(const Refusal&) const = default;
};

Refusal BadInput(std::string aMessage);
Refusal Unauthorized();
Refusal NotFound(std::string aMessage);
Refusal Draining();

// Returns {"error": {"type", "message", "request_id", "run"}}.
std::string ErrorObject(const Refusal& aRefusal, const std::string& aRequestId);
net::HttpResponse ToResponse(const Refusal& aRefusal, const std::string& aRequestId);
// Returns the SSE event that ends a broken stream.
std::string ErrorEvent(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace masticstep::gateway
