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
  NoCapacity, // engines are there, but their load would make the first token late
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

// What a request needs of an engine.
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

// Load of an engine as it reported it.
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

// Change of an engine's prefix cache.
struct EngineCacheEvent
{
  EngineId engine;
  std::uint64_t sequence = 0;
  bool isStored = false;
  std::uint64_t hash = 0;

  bool operator==(const EngineCacheEvent&) const = default;
};

// What is believed of an engine or server, for the status page.
struct EngineStatus
{
  EngineId engine;
  std::string state; // ready, draining, changing, ejected or down
  std::uint64_t inFlight = 0;

  bool operator==(const EngineStatus&) const = default;
};

// Chooses the backend server of each request. Called from several threads.
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
  // Requests with a leaving backend server go elsewhere.
  virtual void SetDraining(const EngineId& aEngine, bool aIsLeaving, Time aNow) = 0;
  // Tokens that may be in flight for a service; nothing if that is not known.
  virtual std::optional<std::uint64_t> Capacity(const ServiceName& aService, Time aNow) const = 0;
  // Output tokens that a request will probably need.
  virtual std::uint32_t ExpectedOutput(const EngineQuery& aQuery) const = 0;
  virtual std::vector<EngineStatus> Status(Time aNow) const = 0;
};

} // namespace masticstep::gateway
