#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::dispatch {

// Retry semantics of a route's requests.
enum class CallKind : std::uint8_t
{
  Idempotent,
  NonIdempotent, // executed at most once
  Stream         // answered by an event stream; executed at most once unless the route is resumable
};

// Weighted destination of a route's requests.
struct ServiceShare
{
  ServiceName service;
  std::uint32_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// Matches requests by host and path prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; // begins and ends with a slash
  CallKind kind = CallKind::NonIdempotent;
  Duration timeout = Seconds(30); // until the complete response
  Duration target = Seconds(1);   // until the complete response, or the first event of a stream
  Duration gapTarget{ 0 };        // maximum time between events of a stream; 0: no target
  std::uint8_t priority = 0;      // 0 is the most urgent
  std::vector<ServiceShare> shares;
  std::uint32_t attempts = 1; // maximum number of backend servers that may execute one request
  bool isResumable = false;   // whether a stream may be resumed on another backend server
  bool isPublic = false;      // needs no client account, where the configuration has accounts

  bool IsRetryable() const
  {
    return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
  }
  bool operator==(const Route&) const = default;
};

// Returns when the caller of a stream is expected to disconnect if it receives nothing after
// aSince, the time of its arrival or of its latest event.
Time CallerDeadline(const Route& aRoute, Time aSince);

// Selects the service of a request by weight. The selection is deterministic in the request id. An
// attempt that resumes a stream must be given the id of the attempt that began it.
const ServiceName& ChooseService(const Route& aRoute, std::string_view aRequestId);

// Returns the services to which the route sends requests, aFirst before the others.
std::vector<ServiceName> ServicesOf(const Route& aRoute, const ServiceName& aFirst);

} // namespace masticstep::dispatch
