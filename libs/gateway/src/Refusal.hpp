#pragma once

#include "RunState.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <optional>
#include <string>

namespace masticstep::gateway {

// Error response to a request that was refused or that failed.
struct Refusal
{
  unsigned status = 503;
  std::string type; // error code, such as "overload"
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
// Returns the SSE event that ends a failed stream.
std::string ErrorEvent(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace masticstep::gateway
