#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::dispatch {

// What may be done again with a request of a route.
enum class CallKind : std::uint8_t
{
  Idempotent,
  NonIdempotent, // runs at most once
  Stream         // answered by events; runs at most once unless the route is resumable
};

// Part of a route's requests that goes to one service.
struct ServiceShare
{
  ServiceName service;
  std::uint32_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

// Requests of one host whose path begins with a prefix.
struct Route
{
  std::string name;
  std::string host;
  std::string pathPrefix; // begins and ends with a slash
  CallKind kind = CallKind::NonIdempotent;
  Duration timeout = Seconds(30); // longest time until the whole answer
  Duration target = Seconds(1);   // to the whole answer, or to the first event of a stream
  Duration gapTarget{ 0 };        // longest pause between events of a stream; 0: no target
  std::uint8_t priority = 0;      // 0 is the most urgent
  std::vector<ServiceShare> shares;
  std::uint32_t attempts = 1; // backend servers that may run one request
  bool isResumable = false;   // a stream may go on at another backend server

  bool IsRetryable() const
  {
    return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
  }
  bool operator==(const Route&) const = default;
};

// Returns when the caller of a stream leaves if it has got nothing since this time: its arrival, or
// its last event.
Time CallerDeadline(const Route& aRoute, Time aSince);

// Returns the service of a request. The same request always gets the same one.
const ServiceName& ChooseService(const Route& aRoute, std::string_view aRequestId);

} // namespace masticstep::dispatch
