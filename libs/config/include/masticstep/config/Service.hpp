#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

enum class ServiceKind
{
  Model,
  Plain
};

// Phase of a request that an engine runs. A mixed engine runs both phases.
enum class EngineRole
{
  Mixed,
  Prefill,
  Decode
};

// Returns "mixed", "prefill" or "decode".
const char* ToString(EngineRole aRole);

// Engine of a model service or server of a plain service.
struct BackendServer
{
  BackendServerName name;
  HttpUrl url;
  RegionName region;
  DataCentreName dataCentre;
  bool refusesOldFencing = false;      // rejects orders with an outdated fencing token
  EngineRole role = EngineRole::Mixed; // initial role

  auto operator<=>(const BackendServer&) const = default;
};

// Service class of requests, with its latency targets and its limits.
struct ServiceClass
{
  ClassName name;
  Duration firstToken = Milliseconds(1100);
  Duration betweenTokens = Milliseconds(67);
  Duration deadline = Seconds(30);
  std::uint8_t priority = 0; // higher values are served first
  std::uint32_t queueLimit = 64;

  auto operator<=>(const ServiceClass&) const = default;
};

// Limits on role changes of the engines of a service.
struct RolePolicy
{
  Duration changeCost = Seconds(20); // engine time lost by a change, which its gain must exceed
  Duration minimumInterval = Seconds(120); // between two changes of one engine
  double maximumShare = 0.2;               // of the engines that change at the same time

  auto operator<=>(const RolePolicy&) const = default;
};

// Rule for the calls of a plain service with this method and a path that starts with the prefix.
struct CallRule
{
  std::string method;
  std::string pathPrefix;
  bool repeatable = false;

  auto operator<=>(const CallRule&) const = default;
};

// Configuration of one model service or plain service.
struct Service
{
  ServiceName name;
  ServiceKind kind = ServiceKind::Model;
  std::vector<BackendServer> backendServers;
  // Model services:
  ModelName model;
  std::string version;
  std::vector<std::string> adapters;
  std::vector<ServiceClass> classes; // the first is the default
  RolePolicy rolePolicy;
  // Plain services:
  Duration timeout = Seconds(5);
  std::vector<CallRule> calls;

  auto operator<=>(const Service&) const = default;
};

// Returns the class with this name, or the first class if the name is empty. Returns null if there
// is no such class.
const ServiceClass* FindClass(const Service& aService, const ClassName& aName);

// Returns whether a call may be repeated. The matching rule with the longest prefix applies; a call
// without a matching rule may not be repeated.
bool IsRepeatable(const Service& aService, const std::string& aMethod, const std::string& aPath);

} // namespace masticstep
