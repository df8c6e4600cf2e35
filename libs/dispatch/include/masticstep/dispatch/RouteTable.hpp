#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/Route.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace masticstep::dispatch {

// How the engines of a service are built.
struct EngineTraits
{
  std::uint32_t slots = 1;    // requests that run at once
  std::uint64_t kvTokens = 0; // memory in tokens
  double kvBytesPerToken = 0.0;
  double linkMegabitsPerSecond = 0.0; // of transfers between engines
  std::uint32_t tokensPerEvent = 1;
  Duration handleLifetime = Seconds(5);  // of a prompt that was read and not taken
  Duration stageChangeTime = Seconds(3); // out of service during a change of stage

  bool operator==(const EngineTraits&) const = default;
};

struct ServiceTraits
{
  ServiceName name;
  std::uint32_t maximumConnections =
    0;                                // to one backend server, of all daemons together; 0: no limit
  std::optional<EngineTraits> engine; // absent for plain services

  bool operator==(const ServiceTraits&) const = default;
};

// Bounds on what callers may send.
struct RequestLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  Duration headerTimeout = Seconds(10);
  Duration idleTimeout = Seconds(60);

  bool operator==(const RequestLimits&) const = default;
};

// One version of the operators' configuration.
class RouteTable
{
public:
  struct Parts
  {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    RequestLimits limits;
  };

  // Fails with what is wrong.
  static Result<std::shared_ptr<const RouteTable>, std::string> Create(Parts aParts);

  // Returns the route with the longest matching prefix, or null. The path may carry a query.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const ServiceTraits* FindService(const ServiceName& aName) const;
  std::uint64_t Version() const { return mParts.version; }
  const RequestLimits& Limits() const { return mParts.limits; }
  const std::vector<Route>& Routes() const { return mParts.routes; }
  const std::vector<ServiceTraits>& Services() const { return mParts.services; }
  bool operator==(const RouteTable& aOther) const;

private:
  explicit RouteTable(Parts aParts);

  Parts mParts;
  // Routes of one host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
};

} // namespace masticstep::dispatch
