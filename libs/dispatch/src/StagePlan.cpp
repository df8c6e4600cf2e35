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

std::map<DataCentreName, Group> GroupsOf(const std::map<BackendServerName, Backend>& aBackends,
                                         const ServiceName& aService)
{
  std::map<DataCentreName, Group> groups;
  for (const auto& [id, backend] : aBackends) {
    if (backend.isDraining || backend.stage == Stage::Whole || backend.service != aService) {
      continue;
    }
    Group& group = groups[backend.dataCentre];
    (backend.stage == Stage::Prefill ? group.reading : group.answering).push_back(id);
  }
  return groups;
}

// Measured shares beyond these are not followed: a little of both kinds is always needed.
constexpr double kLeastShare = 0.25;
constexpr double kLargestShare = 0.6;
// Smaller differences win back less than a change costs.
constexpr double kLeastDifference = 0.15;
constexpr Duration kConfirmation = Seconds(4);
constexpr Duration kChangeInterval = Seconds(8);
constexpr double kExpectedAnswerSeconds = 1.3;
constexpr double kExpectedReadSeconds = 0.03;

} // namespace

double ExpectedAnswerShare(std::uint32_t aSlots)
{
  const double answer = kExpectedAnswerSeconds / std::max(1U, aSlots);
  return std::clamp(answer / (answer + kExpectedReadSeconds), kLeastShare, kLargestShare);
}

StageShare::StageShare(double aStart)
  : mShare(aStart)
{
}

double StageShare::Follow(std::optional<double> aMeasured, Time aNow)
{
  if (!aMeasured || std::abs(*aMeasured - mShare) < kLeastDifference) {
    mDiffersSince.reset();
    return mShare;
  }
  mDiffersSince = mDiffersSince ? mDiffersSince : aNow;
  const bool isConfirmed = aNow >= *mDiffersSince + kConfirmation;
  const bool mayChange = !mChanged || aNow >= *mChanged + kChangeInterval;
  if (isConfirmed && mayChange) {
    mShare = std::clamp(*aMeasured, kLeastShare, kLargestShare);
    mChanged = aNow;
    mDiffersSince.reset();
  }
  return mShare;
}

std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const ServiceName& aService, const StagePolicy& aPolicy)
{
  std::vector<StageChange> changes;
  for (const auto& [key, group] : GroupsOf(aBackends, aService)) {
    const std::size_t total = group.reading.size() + group.answering.size();
    const std::size_t share =
      static_cast<std::size_t>(std::lround(aPolicy.answerShare * static_cast<double>(total)));
    const std::size_t wanted = std::max<std::size_t>(share, aPolicy.minimumAnswering);
    const std::size_t bound = aPolicy.maximumChanges == 0 ? total : aPolicy.maximumChanges;
    const std::size_t end = std::min(group.answering.size(), wanted + bound);
    for (std::size_t i = wanted; i < end; ++i) {
      changes.push_back({ group.answering[i], Stage::Prefill });
    }
    // The last engine that reads prompts stays.
    const std::size_t missing = wanted - std::min(wanted, group.answering.size());
    for (std::size_t i = 0; i < std::min(missing, bound) && i + 1 < group.reading.size(); ++i) {
      changes.push_back({ group.reading[i], Stage::Decode });
    }
  }
  return changes;
}

} // namespace masticstep::dispatch
