#include "AdmissionPump.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

namespace masticstep::gateway {

namespace {

// Requests are released at once when another one ends; this only bounds how late a deadline or
// newly reported room is noticed.
constexpr Duration kPumpInterval = Milliseconds(20);

void UpdateCapacities(GatewayParts& aParts, const Configuration& aConfiguration, Time aNow)
{
  for (const Service& service : aConfiguration.Services()) {
    const std::optional<std::uint64_t> tokens = aParts.engines->Capacity(service.name, aNow);
    if (service.kind == ServiceKind::Model && tokens) {
      aParts.admission.SetCapacity(service.name, *tokens);
    }
  }
}

} // namespace

net::Task<void> PumpAdmission(std::shared_ptr<GatewayParts> aParts)
{
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    const Time now = net::Now();
    if (configuration) {
      UpdateCapacities(*aParts, *configuration, now);
    }
    aParts->admission.OnTime(now);
    co_await net::Sleep(kPumpInterval);
  }
}

} // namespace masticstep::gateway
