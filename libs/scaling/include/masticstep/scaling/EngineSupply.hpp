#pragma once

#include "masticstep/dispatch/Backend.hpp"

#include <cstdint>
#include <map>

namespace masticstep::scaling {

// Engines of a service in one data centre that are not leaving.
struct EngineSupply
{
  std::uint32_t reserved = 0;
  std::uint32_t interruptible = 0;

  std::uint32_t Total() const { return reserved + interruptible; }
  bool operator==(const EngineSupply&) const = default;
};

using SupplyByDataCentre = std::map<DataCentreName, EngineSupply>;

SupplyByDataCentre CountEngines(const std::map<BackendServerName, dispatch::Backend>& aBackends,
                                const ServiceName& aService);

} // namespace masticstep::scaling
