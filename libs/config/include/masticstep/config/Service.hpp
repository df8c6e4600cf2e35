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

// What an engine does for a request. A mixed engine does both phases.
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
  bool refusesOldFencing = false;      // whether it checks the fencing number of an order
  EngineRole role = EngineRole::Mixed; // role at start

  auto operator<=>(const BackendServer&) const = default;
};

// Class of requests with its latency targets.
struct ServiceClass
{
  ClassName name;
  Duration firstToken = Milliseconds(1100);
  Duration betweenTokens = Milliseconds(67);
  Duration deadline = Seconds(30);
  std::uint8_t priority = 0; // higher is served first
  std::uint32_t queueLimit = 64;

  auto operator<=>(const ServiceClass&) const = default;
};

// When role changes pay.
struct RolePolicy
{
  Duration changeCost = Seconds(20);       // engine time that a change must win back
  Duration minimumInterval = Seconds(120); // between changes of one engine
  double maximumShare = 0.2;               // of engines changing at once

  auto operator<=>(const RolePolicy&) const = default;
};

// Calls of a plain service whose method is equal and whose path starts with the prefix.
struct CallRule
{
  std::string method;
  std::string pathPrefix;
  bool repeatable = false;

  auto operator<=>(const CallRule&) const = default;
};

// One model service or plain service.
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

// Returns the class of that name, the first class if the name is empty, or null.
const ServiceClass* FindClass(const Service& aService, const ClassName& aName);

// Returns whether a call may be repeated. The longest matching prefix decides; a call without a
// rule may not.
bool IsRepeatable(const Service& aService, const std::string& aMethod, const std::string& aPath);

} // namespace masticstep
