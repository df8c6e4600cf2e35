#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::soak {

enum class FaultKind
{
  KillDaemon,
  PauseDaemon,
  StopDaemon,
  ReloadDaemon,
  KillAllDaemons,
  StopDaemonsInTurn,
  DelayCallers,
  ResetCallers,
  SilenceCallers,
  DelayStoreLink,
  ResetStoreLink,
  SilenceStoreLink,
  DelayEngineLink,
  ResetEngineLink,
  SilenceEngineLink,
  StoreOutage,
  StoreSilence,
  StoreSlow,
  StoreLosesAnswers,
  StoreForgetsHistory,
  CrashEngine,
  FailingEngine,
  EngineLosesAnswers,
  EngineSendsGarbage,
  EngineRepeatsAnswers,
  EngineCutsStreams,
  DarkEngine,
  FullEngine,
  EngineLeaves,
  MoveRoute,
  AddRoute,
  ConfigurationStorm,
};

std::string_view NameOf(FaultKind aKind);

struct PlannedFault
{
  Duration at{};   // from the start of the run
  Duration span{}; // how long it is on, where it has a length
  FaultKind kind = FaultKind::KillDaemon;
  std::uint64_t choice = 0; // which daemon, engine or direction; taken modulo their number

  bool operator==(const PlannedFault&) const = default;
};

struct PlanOptions
{
  std::uint64_t seed = 1;
  Duration length = Seconds(40);
  Duration calm = Seconds(17);   // without faults, at the end
  std::set<std::size_t> without; // faults that are left out, by their place in the plan
};

// Faults of a run, in order of their start. The same options give the same plan; leaving faults out
// does not change the others.
std::vector<PlannedFault> MakePlan(const PlanOptions& aOptions);

std::string ToString(const PlannedFault& aFault);

} // namespace masticstep::soak
