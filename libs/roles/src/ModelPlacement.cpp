#include "masticstep/roles/ModelPlacement.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace masticstep::roles {

namespace {

// Highest averages (Sainte-Lague) with one engine for each model first.
std::map<ModelName, std::size_t> SharesOf(const std::vector<ModelDemand>& aDemands,
                                          std::size_t aEngines)
{
  std::map<ModelName, std::size_t> shares;
  for (std::size_t given = 0; given < aEngines; ++given) {
    const ModelDemand* next = nullptr;
    double largest = 0.0;
    for (const ModelDemand& demand : aDemands) {
      const std::size_t has = shares[demand.model];
      const double need = has == 0 ? 1e9 + demand.work : demand.work / (2.0 * has + 1.0);
      if (demand.work > 0.0 && need > largest) {
        largest = need;
        next = &demand;
      }
    }
    if (next == nullptr) {
      break;
    }
    ++shares[next->model];
  }
  return shares;
}

} // namespace

std::vector<PlacedEngine> PlaceModels(const std::vector<ModelDemand>& aDemands,
                                      const std::vector<PlacedEngine>& aEngines)
{
  const std::map<ModelName, std::size_t> shares = SharesOf(aDemands, aEngines.size());
  std::map<ModelName, std::size_t> has;
  for (const PlacedEngine& engine : aEngines) {
    ++has[engine.model];
  }
  std::vector<ModelDemand> needs = aDemands;
  std::stable_sort(
    needs.begin(), needs.end(),
    [](const ModelDemand& aLeft, const ModelDemand& aRight) { return aLeft.work > aRight.work; });
  std::vector<PlacedEngine> moves;
  std::vector<PlacedEngine> engines = aEngines;
  for (const ModelDemand& need : needs) {
    const auto share = shares.find(need.model);
    for (PlacedEngine& engine : engines) {
      const auto from = shares.find(engine.model);
      const std::size_t fromShare = from == shares.end() ? 0 : from->second;
      const bool isWanted = share != shares.end() && has[need.model] < share->second;
      if (isWanted && engine.model != need.model && has[engine.model] > fromShare) {
        --has[engine.model];
        ++has[need.model];
        engine.model = need.model;
        moves.push_back(engine);
      }
    }
  }
  return moves;
}

} // namespace masticstep::roles
