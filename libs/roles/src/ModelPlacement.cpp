#include "masticstep/roles/ModelPlacement.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace masticstep::roles {

namespace {

// Apportions the engines by the Sainte-Lague method, after one engine for each model with demand.
std::map<ModelName, std::size_t> AllocateEngines(const std::vector<ModelDemand>& aDemands,
                                                 std::size_t aEngines)
{
  std::map<ModelName, std::size_t> allocation;
  for (std::size_t allocated = 0; allocated < aEngines; ++allocated) {
    const ModelDemand* next = nullptr;
    double largest = 0.0;
    for (const ModelDemand& demand : aDemands) {
      const std::size_t assigned = allocation[demand.model];
      const double priority =
        assigned == 0 ? 1e9 + demand.work : demand.work / (2.0 * assigned + 1.0);
      if (demand.work > 0.0 && priority > largest) {
        largest = priority;
        next = &demand;
      }
    }
    if (next == nullptr) {
      break;
    }
    ++allocation[next->model];
  }
  return allocation;
}

} // namespace

std::vector<EnginePlacement> PlaceModels(const std::vector<ModelDemand>& aDemands,
                                         const std::vector<EnginePlacement>& aEngines)
{
  const std::map<ModelName, std::size_t> allocation = AllocateEngines(aDemands, aEngines.size());
  std::map<ModelName, std::size_t> assigned;
  for (const EnginePlacement& engine : aEngines) {
    ++assigned[engine.model];
  }
  std::vector<ModelDemand> sortedDemands = aDemands;
  std::stable_sort(
    sortedDemands.begin(), sortedDemands.end(),
    [](const ModelDemand& aLeft, const ModelDemand& aRight) { return aLeft.work > aRight.work; });
  std::vector<EnginePlacement> moves;
  std::vector<EnginePlacement> engines = aEngines;
  for (const ModelDemand& demand : sortedDemands) {
    const auto target = allocation.find(demand.model);
    for (EnginePlacement& engine : engines) {
      const auto from = allocation.find(engine.model);
      const std::size_t fromAllocation = from == allocation.end() ? 0 : from->second;
      const bool needsEngine =
        target != allocation.end() && assigned[demand.model] < target->second;
      if (needsEngine && engine.model != demand.model && assigned[engine.model] > fromAllocation) {
        --assigned[engine.model];
        ++assigned[demand.model];
        engine.model = demand.model;
        moves.push_back(engine);
      }
    }
  }
  return moves;
}

} // namespace masticstep::roles
