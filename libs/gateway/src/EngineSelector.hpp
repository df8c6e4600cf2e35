#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/Configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::gateway {

enum class SelectionFailure
{
  NoEngine,
  NoCapacity, // engines are available, but under their load the first token would be late
  DeadlineCannotBeMet
};

enum class EngineFailure
{
  ConnectionFailed,
  Silent,
  Broken, // 5xx, or a stream that ended early
  Refused,
  Cancelled,
  DeadlineExceeded
};

// Properties of a request on which the choice of its engine depends.
struct EngineQuery
{
  RequestId id;
  ServiceName service;
  ClassName className;
  AccountName account;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  Time arrived;
  Time deadline;
  std::uint8_t priority = 0;
  std::vector<EngineId> excluded; // engines that already failed this request

  bool operator==(const EngineQuery&) const = default;
};

// Load as reported by an engine.
struct EngineLoad
{
  EngineId engine;
  std::uint64_t sequence = 0;
  Duration age{ 0 };
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t blocksUsed = 0;
  std::uint32_t blocksTotal = 0;
  std::string role;
  std::string state;

  bool operator==(const EngineLoad&) const = default;
};

// Change in the prefix cache of an engine.
struct EngineCacheEvent
{
  EngineId engine;
  std::uint64_t sequence = 0;
  bool isStored = false;
  std::uint64_t hash = 0;

  bool operator==(const EngineCacheEvent&) const = default;
};

// State of an engine or server as known to this daemon, for the status page.
struct EngineStatus
{
  EngineId engine;
  std::string state; // ready, draining, changing, ejected or down
  std::uint64_t inFlight = 0;

  bool operator==(const EngineStatus&) const = default;
};

// Selects the backend server for each request. Called from several threads.
class EngineSelector
{
public:
  virtual ~EngineSelector() = default;

  virtual void OnConfiguration(const Configuration& aConfiguration, Time aNow) = 0;
  // The request counts as in flight on the chosen engine until OnFinished or OnFailed.
  virtual Result<EngineId, SelectionFailure> Choose(const EngineQuery& aQuery, Time aNow) = 0;
  virtual void OnDispatched(RequestId aId, Time aNow) = 0;
  virtual void OnTokens(RequestId aId, std::uint32_t aCount, Time aNow) = 0;
  virtual void OnFinished(RequestId aId, Time aNow) = 0;
  virtual void OnFailed(RequestId aId, EngineFailure aFailure, Time aNow) = 0;
  virtual void OnLoad(const EngineLoad& aLoad, Time aNow) = 0;
  virtual void OnCacheEvent(const EngineCacheEvent& aEvent, Time aNow) = 0;
  virtual void OnUnreachable(const EngineId& aEngine, Time aNow) = 0;
  // A draining backend server gets no new requests.
  virtual void SetDraining(const EngineId& aEngine, bool aIsDraining, Time aNow) = 0;
  // Maximum number of tokens in flight for a service; nullopt if unknown.
  virtual std::optional<std::uint64_t> Capacity(const ServiceName& aService, Time aNow) const = 0;
  // Predicted number of output tokens of a request.
  virtual std::uint32_t ExpectedOutput(const EngineQuery& aQuery) const = 0;
  virtual std::vector<EngineStatus> Status(Time aNow) const = 0;
};

} // namespace masticstep::gateway
