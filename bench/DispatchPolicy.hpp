#pragma once

#include "FakeEngine.hpp"
#include "Workload.hpp"
#include "masticstep/routing/CacheEvent.hpp"
#include "masticstep/routing/FailureKind.hpp"
#include "masticstep/routing/LoadReport.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace masticstep::bench {

// Chooses engines for one daemon of the simulation, which is numbered like its engines.
class DispatchPolicy
{
public:
  virtual ~DispatchPolicy() = default;

  virtual std::optional<std::uint32_t> Choose(std::uint32_t aRequest, const WorkItem& aItem,
                                              const std::vector<std::uint32_t>& aExcluded,
                                              Time aNow) = 0;
  virtual void OnFirstToken(std::uint32_t aRequest, Time aNow) = 0;
  virtual void OnFinished(std::uint32_t aRequest, std::uint32_t aTokens, Time aNow) = 0;
  virtual void OnFailed(std::uint32_t aRequest, routing::FailureKind aKind, Time aNow) = 0;
  virtual void OnReport(std::uint32_t aEngine, const routing::LoadReport& aReport, Time aNow) = 0;
  virtual void OnState(std::uint32_t aEngine, routing::EngineState aState, Time aNow) = 0;
  virtual void OnCacheEvent(std::uint32_t aEngine, const routing::CacheEvent& aEvent,
                            Time aNow) = 0;
  // Tokens that the daemon may have in flight for requests of this kind's service.
  virtual std::uint64_t Capacity(bool aIsOrder, Time aNow) = 0;
  virtual std::uint32_t ExpectedOutput(const WorkItem& aItem) = 0;
};

enum class DispatchKind : std::uint8_t
{
  Masticstep,
  MasticstepNoEjection,
  RoundRobin,
  LeastOutstanding,
  Clairvoyant
};

std::uint32_t DataCentreOfEngine(std::uint32_t aEngine);
std::uint32_t DataCentreOfDaemon(std::uint32_t aDaemon);
constexpr bool IsOrderEngine(std::uint32_t aEngine)
{
  return aEngine >= kModelEngines;
}

std::unique_ptr<DispatchPolicy> MakeDispatch(DispatchKind aKind, const Installation& aInstallation,
                                             std::uint32_t aDaemon,
                                             const std::deque<FakeEngine>& aEngines);
std::unique_ptr<DispatchPolicy> MakeRouterDispatch(const Installation& aInstallation,
                                                   std::uint32_t aDaemon, bool aHasEjection,
                                                   const std::deque<FakeEngine>& aEngines);

} // namespace masticstep::bench
