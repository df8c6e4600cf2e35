#include "AdmissionTasks.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

namespace masticstep::gateway {

namespace {

// Requests are admitted as soon as another one ends; this interval only bounds the delay until a
// passed deadline or newly reported capacity is noticed.
constexpr Duration kAdmissionInterval = Milliseconds(20);
// Account usage entries are published at this interval.
constexpr Duration kDemandInterval = Seconds(5);

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

net::Task<void> RunAdmission(std::shared_ptr<GatewayParts> aParts)
{
  while (aParts->drain.Phase() != DrainPhase::Stopping || aParts->running.Count() > 0) {
    const ConfigurationPointer configuration = aParts->configuration.Current();
    const Time now = net::Now();
    if (configuration) {
      UpdateCapacities(*aParts, *configuration, now);
    }
    aParts->admission.OnTime(now);
    co_await net::Sleep(kAdmissionInterval);
  }
}

net::Task<void> RunLimitSharing(std::shared_ptr<GatewayParts> aParts)
{
  const EntryKey key{ EntryKind::AccountUsage, aParts->settings.host.Text() };
  while (aParts->peering && aParts->drain.Phase() == DrainPhase::Serving) {
    co_await net::Sleep(kDemandInterval);
    const ConfigurationPointer configuration = aParts->configuration.Current();
    if (configuration) {
      std::string value = aParts->admission.EndDemandInterval(kDemandInterval, *configuration);
      aParts->peering->Publish(key, std::move(value));
      aParts->admission.UpdateShares(*configuration);
    }
  }
}

} // namespace masticstep::gateway
