#include "masticstep/scaling/EngineSupply.hpp"

namespace masticstep::scaling {

SupplyByDataCentre CountEngines(const std::map<BackendServerName, dispatch::Backend>& aBackends,
                                const ServiceName& aService)
{
  SupplyByDataCentre supply;
  for (const auto& [id, backend] : aBackends) {
    if (backend.service == aService && !backend.isDraining) {
      EngineSupply& local = supply[backend.dataCentre];
      ++(backend.isInterruptible ? local.interruptible : local.reserved);
    }
  }
  return supply;
}

} // namespace masticstep::scaling
