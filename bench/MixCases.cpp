#include "BenchCase.hpp"
#include "Simulation.hpp"

#include <cmath>
#include <numbers>

namespace masticstep::bench {

namespace {

struct Scenario
{
  WorkloadOptions workload;
  std::uint32_t prefillEngines = 2;
  Duration lossFrom{ 0 };
  Duration lossTo{ 0 };
  bool hasClairvoyant = false;
};

double StepShare(double aAt)
{
  // Two minutes at 20%, two minutes of change, six minutes at 70%.
  return 0.2 + 0.5 * std::clamp((aAt - 120.0) / 120.0, 0.0, 1.0);
}

double SineShare(double aAt)
{
  return 0.45 - 0.25 * std::cos(2.0 * std::numbers::pi * aAt / 600.0);
}

double SteadyShare(double)
{
  return 0.45;
}

// Changes every 5 s to a share from 30% to 60% without any trend.
double NoiseShare(double aAt)
{
  const std::uint64_t n = static_cast<std::uint64_t>(aAt / 5.0) * 0x9e3779b97f4a7c15U;
  return 0.30 + 0.30 * static_cast<double>(n >> 40U) / static_cast<double>(1U << 24U);
}

Scenario StepScenario()
{
  Scenario scenario;
  scenario.workload.prefillShare = StepShare;
  scenario.prefillEngines = 1;
  scenario.hasClairvoyant = true;
  return scenario;
}

Scenario SineScenario()
{
  Scenario scenario = StepScenario();
  scenario.workload.prefillShare = SineShare;
  return scenario;
}

Scenario NoiseScenario()
{
  Scenario scenario;
  scenario.workload.prefillShare = NoiseShare;
  return scenario;
}

Scenario LossScenario()
{
  Scenario scenario;
  scenario.workload.prefillShare = SteadyShare;
  scenario.workload.length = Seconds(360);
  scenario.lossFrom = Seconds(120);
  scenario.lossTo = Seconds(240);
  return scenario;
}

Scenario OverloadScenario()
{
  Scenario scenario;
  scenario.workload.prefillShare = SteadyShare;
  scenario.workload.length = Seconds(240);
  scenario.workload.load = 2.0 * kLoad;
  return scenario;
}

Scenario FloodScenario()
{
  Scenario scenario;
  scenario.workload.prefillShare = SteadyShare;
  scenario.workload.length = Seconds(240);
  scenario.workload.floodLoad = kLoad;
  scenario.workload.floodFrom = 60.0;
  return scenario;
}

SimulationOptions OptionsOf(const Installation& aInstallation, const Scenario& aScenario)
{
  SimulationOptions options;
  options.installation = aInstallation;
  options.prefillEngines = aScenario.prefillEngines;
  options.length = aScenario.workload.length;
  options.lossFrom = aScenario.lossFrom;
  options.lossTo = aScenario.lossTo;
  return options;
}

// The best of a grid of schedules that follow the known future share, so that the engines have
// changed when the share has.
SimulationResult BestClairvoyant(SimulationOptions aOptions, const Scenario& aScenario,
                                 const std::vector<WorkItem>& aItems)
{
  aOptions.dispatch = DispatchKind::Clairvoyant;
  aOptions.controller = ControllerKind::Schedule;
  SimulationResult best;
  // Prefill engines per data centre for each unit of prefill share, and at the least share.
  struct Line
  {
    double slope;
    double offset;
  };
  for (const Line line : { Line{ 6.5, -0.5 }, Line{ 6.5, 0.0 }, Line{ 8.0, -0.5 } }) {
    aOptions.schedule = [&aScenario, line](double aAt) {
      constexpr double kLead = 15.0;
      return line.offset + line.slope * (aScenario.workload.prefillShare(aAt + kLead) - 0.15);
    };
    const SimulationResult result = Simulate(aOptions, aItems);
    best = result.goodput > best.goodput ? result : best;
  }
  return best;
}

std::vector<Measurement> Compare(const Installation& aInstallation, const Scenario& aScenario)
{
  const std::vector<WorkItem> items = MakeWorkload(aInstallation, aScenario.workload);
  const SimulationOptions own = OptionsOf(aInstallation, aScenario);
  const SimulationResult result = Simulate(own, items);
  Measurement goodput{ "goodput", result.goodput, "requests/s", {} };
  Measurement changes{ "role_changes", static_cast<double>(result.roleChanges), "changes", {} };
  const auto add = [&](const std::string& aName, const SimulationResult& aResult) {
    goodput.baselines.push_back({ aName, aResult.goodput });
    changes.baselines.push_back({ aName, static_cast<double>(aResult.roleChanges) });
  };
  SimulationOptions other = own;
  other.dispatch = DispatchKind::RoundRobin;
  add("round_robin", Simulate(other, items));
  other.dispatch = DispatchKind::LeastOutstanding;
  add("least_outstanding", Simulate(other, items));
  other = own;
  other.controller = ControllerKind::None;
  add("no_role_changes", Simulate(other, items));
  other.controller = ControllerKind::Greedy;
  add("greedy_role_changes", Simulate(other, items));
  if (aScenario.hasClairvoyant) {
    add("clairvoyant", BestClairvoyant(own, aScenario, items));
  }
  const double span = ToSeconds(aScenario.workload.length);
  const double arrived = static_cast<double>(result.arrived);
  return {
    goodput,
    changes,
    { "offered", arrived / span, "requests/s", {} },
    { "refused", 100.0 * static_cast<double>(result.refused) / arrived, "%", {} },
    { "failed", 100.0 * static_cast<double>(result.failed) / arrived, "%", {} },
    { "late_first_token", 100.0 * static_cast<double>(result.lateFirstToken) / arrived, "%", {} },
    { "slow_tokens", 100.0 * static_cast<double>(result.slowTokens) / arrived, "%", {} }
  };
}

// Goodput that the other accounts lose to one that floods, against the same run without it.
std::vector<Measurement> CompareFlood(const Installation& aInstallation)
{
  const Scenario scenario = FloodScenario();
  std::vector<Measurement> measurements = Compare(aInstallation, scenario);
  const SimulationOptions options = OptionsOf(aInstallation, scenario);
  WorkloadOptions quiet = scenario.workload;
  quiet.floodLoad = 0.0;
  const double before = Simulate(options, MakeWorkload(aInstallation, quiet)).othersGoodput;
  const double after =
    Simulate(options, MakeWorkload(aInstallation, scenario.workload)).othersGoodput;
  measurements.push_back({ "others_goodput_loss", 100.0 * (1.0 - after / before), "%", {} });
  return measurements;
}

// Without ejection, an engine that refuses connections but reports that it is idle draws requests.
std::vector<Measurement> CompareLoss(const Installation& aInstallation)
{
  const Scenario scenario = LossScenario();
  std::vector<Measurement> measurements = Compare(aInstallation, scenario);
  const std::vector<WorkItem> items = MakeWorkload(aInstallation, scenario.workload);
  SimulationOptions options = OptionsOf(aInstallation, scenario);
  options.isLossHidden = true;
  const double hidden = Simulate(options, items).goodput;
  options.dispatch = DispatchKind::MasticstepNoEjection;
  const double hiddenWithout = Simulate(options, items).goodput;
  options.isLossHidden = false;
  measurements[0].baselines.push_back({ "no_ejection", Simulate(options, items).goodput });
  measurements.push_back(
    { "goodput_hidden_loss", hidden, "requests/s", { { "no_ejection", hiddenWithout } } });
  return measurements;
}

const CaseRegistration kKestrelStep({ "kestrel_step",
                                      [] { return Compare(Kestrel(), StepScenario()); } });
const CaseRegistration kSaltireStep({ "saltire_step",
                                      [] { return Compare(Saltire(), StepScenario()); } });
const CaseRegistration kKestrelSine({ "kestrel_sine",
                                      [] { return Compare(Kestrel(), SineScenario()); } });
const CaseRegistration kSaltireSine({ "saltire_sine",
                                      [] { return Compare(Saltire(), SineScenario()); } });
const CaseRegistration kKestrelNoise({ "kestrel_noise",
                                       [] { return Compare(Kestrel(), NoiseScenario()); } });
const CaseRegistration kSaltireNoise({ "saltire_noise",
                                       [] { return Compare(Saltire(), NoiseScenario()); } });
const CaseRegistration kKestrelLoss({ "kestrel_loss", [] { return CompareLoss(Kestrel()); } });
const CaseRegistration kSaltireLoss({ "saltire_loss", [] { return CompareLoss(Saltire()); } });
const CaseRegistration kKestrelOverload({ "kestrel_overload",
                                          [] { return Compare(Kestrel(), OverloadScenario()); } });
const CaseRegistration kSaltireOverload({ "saltire_overload",
                                          [] { return Compare(Saltire(), OverloadScenario()); } });
const CaseRegistration kKestrelFlood({ "kestrel_flood", [] { return CompareFlood(Kestrel()); } });
const CaseRegistration kSaltireFlood({ "saltire_flood", [] { return CompareFlood(Saltire()); } });

} // namespace

} // namespace masticstep::bench
