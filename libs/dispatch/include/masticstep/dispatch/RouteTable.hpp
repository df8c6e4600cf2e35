#pragma once

#include "masticstep/accounts/AccountDirectory.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/Route.hpp"
#include "masticstep/dispatch/ScalingTraits.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace masticstep::dispatch {

// Properties of the engines of a service.
struct EngineTraits
{
  std::uint32_t slots = 1;    // maximum number of concurrent requests
  std::uint64_t kvTokens = 0; // KV cache capacity
  double kvBytesPerToken = 0.0;
  double linkMegabitsPerSecond = 0.0; // for KV cache transfers between engines
  std::uint32_t tokensPerEvent = 1;
  Duration handleLifetime = Seconds(5);  // of the KV cache of a prompt that no engine has fetched
  Duration stageChangeTime = Seconds(3); // time out of service during a change of stage

  // Returns the time in seconds that the KV cache of aTokens takes on an otherwise idle link
  // between two engines of a data centre; 0 if the link is unknown.
  double TransferSeconds(std::uint32_t aTokens) const;
  bool operator==(const EngineTraits&) const = default;
};

struct ServiceTraits
{
  ServiceName name;
  std::uint32_t maximumConnections = 0; // per backend server, summed over all daemons; 0: no limit
  std::optional<EngineTraits> engine;   // absent for plain services
  std::optional<ScalingTraits> scaling; // absent if the number of servers is fixed

  bool operator==(const ServiceTraits&) const = default;
};

// Limits on requests from callers.
struct RequestLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  Duration headerTimeout = Seconds(10);
  Duration idleTimeout = Seconds(60);

  bool operator==(const RequestLimits&) const = default;
};

// Immutable version of the routing configuration.
class RouteTable
{
public:
  struct Parts
  {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    RequestLimits limits;
    std::shared_ptr<const accounts::AccountDirectory> accounts; // null if there are none
  };

  // Returns the first validation error on failure.
  static Result<std::shared_ptr<const RouteTable>, std::string> Create(Parts aParts);

  // Returns the route with the longest matching prefix, or null. The path may include a query.
  const Route* Match(std::string_view aHost, std::string_view aPath) const;
  const ServiceTraits* FindService(const ServiceName& aName) const;
  std::uint64_t Version() const { return mParts.version; }
  const RequestLimits& Limits() const { return mParts.limits; }
  // Returns null if the configuration has no client accounts, so that all may call.
  const accounts::AccountDirectory* Accounts() const { return mParts.accounts.get(); }
  const std::vector<Route>& Routes() const { return mParts.routes; }
  const std::vector<ServiceTraits>& Services() const { return mParts.services; }
  bool operator==(const RouteTable& aOther) const;

private:
  explicit RouteTable(Parts aParts);

  Parts mParts;
  // Indices into mParts.routes by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mByHost;
};

} // namespace masticstep::dispatch
