#pragma once

#include "CircuitBreaker.hpp"
#include "EngineSummary.hpp"
#include "LatencyFactor.hpp"
#include "LatencyModel.hpp"
#include "LoadEstimate.hpp"
#include "masticstep/routing/EngineDescription.hpp"
#include "masticstep/routing/RouterOptions.hpp"

#include <array>

namespace masticstep::routing {

using RoleLatencyModels = std::array<LatencyModel, kEngineRoles>;

// Router state of one engine: its description, estimated load, latency models and health.
struct EngineRecord
{
  EngineRecord(const EngineDescription& aDescription, RoleLatencyModels& aModels);

  const LatencyModel& Model() const
  {
    return (*models)[static_cast<std::size_t>(description.role)];
  }
  // Returns the announced state if it is not Ready, else the reported one.
  EngineState State() const
  {
    return announcedState == EngineState::Ready ? reportedState : announcedState;
  }
  EngineSummary Summary() const;
  // Sets the round-trip time and the region cost for the engine's location.
  void SetLocality(const RouterOptions& aOptions);

  EngineDescription description;
  // State announced to the router and state reported by the engine itself. The engine is usable
  // only if both are Ready, because an engine that the platform's list removes still reports Ready.
  EngineState announcedState = EngineState::Ready;
  EngineState reportedState = EngineState::Ready;
  Time announcedAt{};
  bool isRemoved = false;
  LoadEstimate load;
  // Shared by all engines of the service, because one engine alone yields too few answers per
  // class.
  RoleLatencyModels* models;
  // Latency of this engine relative to the other engines of its service.
  LatencyFactor firstTokenFactor;
  LatencyFactor betweenTokensFactor;
  CircuitBreaker breaker;
  std::size_t localInFlight = 0;
  // Mean of the uncached prompt tokens per request sent by this router. Load reports count waiting
  // requests but not their tokens.
  double meanPromptTokens = 500.0;
  double roundTrip = 0.0;
  double regionCost = 0.0;
  std::uint64_t cacheSequence = 0;
  // Factor applied to the expected prefix cache hits. Lost cache events lower it.
  double cacheConfidence = 1.0;
};

} // namespace masticstep::routing
