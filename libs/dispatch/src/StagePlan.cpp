#include "masticstep/dispatch/StagePlan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep::dispatch {

namespace {

struct Group
{
  std::vector<BackendServerName> reading;
  std::vector<BackendServerName> answering;
};

using GroupKey = std::pair<ServiceName, DataCentreName>;

std::map<GroupKey, Group> GroupsOf(const std::map<BackendServerName, Backend>& aBackends)
{
  std::map<GroupKey, Group> groups;
  for (const auto& [id, backend] : aBackends) {
    if (backend.isDraining || backend.stage == Stage::Whole) {
      continue;
    }
    Group& group = groups[{ backend.service, backend.dataCentre }];
    (backend.stage == Stage::Prefill ? group.reading : group.answering).push_back(id);
  }
  return groups;
}

} // namespace

std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const StagePolicy& aPolicy)
{
  std::vector<StageChange> changes;
  for (const auto& [key, group] : GroupsOf(aBackends)) {
    const std::size_t total = group.reading.size() + group.answering.size();
    const std::size_t share = static_cast<std::size_t>(
      std::lround(aPolicy.answerShare * static_cast<double>(total)));
    const std::size_t wanted = std::max<std::size_t>(share, aPolicy.minimumAnswering);
    for (std::size_t i = wanted; i < group.answering.size(); ++i) {
      changes.push_back({ group.answering[i], Stage::Prefill });
    }
    // The last engine that reads prompts stays.
    const std::size_t missing = wanted - std::min(wanted, group.answering.size());
    for (std::size_t i = 0; i < missing && i + 1 < group.reading.size(); ++i) {
      changes.push_back({ group.reading[i], Stage::Decode });
    }
  }
  return changes;
}

} // namespace masticstep::dispatch
