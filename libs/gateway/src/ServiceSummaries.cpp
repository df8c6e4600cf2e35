#include "ServiceSummaries.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

namespace {

// Summaries become stale after 15 s.
constexpr Duration kSummaryInterval = Seconds(5);
constexpr std::uint8_t kReadyState = 0; // state code in EngineLoadValue

EntryKey SummaryKey(const ServiceName& aService, const DataCentreName& aDataCentre)
{
  return { EntryKind::ServiceSummary, aService.Text() + "/" + aDataCentre.Text() };
}

std::optional<EngineLoadValue> FreshLoad(const Peering& aPeering, const EngineId& aEngine)
{
  const std::optional<Entry> entry = aPeering.Find({ EntryKind::EngineLoad, aEngine.Text() });
  return !entry || entry->IsStale() ? std::nullopt : DecodeEngineLoad(entry->value);
}

bool ShouldPublish(const GatewayParts& aParts, const Service& aService)
{
  const OwnerRole role = aParts.peering->Role("summary/" + aService.name.Text());
  if (role != OwnerRole::Standby) {
    return role == OwnerRole::Owner;
  }
  const std::optional<Entry> known =
    aParts.peering->Find(SummaryKey(aService.name, aParts.settings.dataCentre));
  return !known || known->IsStale() || known->owner == aParts.settings.host;
}

void PublishSummary(const GatewayParts& aParts, const Service& aService)
{
  const DataCentreName& dataCentre = aParts.settings.dataCentre;
  const LoadLookup find = [&aParts](const EngineId& aEngine) {
    return FreshLoad(*aParts.peering, aEngine);
  };
  const ServiceSummary summary = Summarize(aService, dataCentre, find);
  if (summary.usable > 0 || !summary.unusable.empty()) {
    aParts.peering->Publish(SummaryKey(aService.name, dataCentre), Encode(summary));
  }
}

EngineLoad MeanLoad(const ServiceSummary& aSummary, const BackendServer& aEngine,
                    const Entry& aEntry)
{
  const std::uint32_t engines = std::max<std::uint32_t>(1, aSummary.usable);
  EngineLoad load;
  load.engine = aEngine.name;
  load.sequence = aEntry.version;
  load.age = aEntry.age;
  load.running = aSummary.running / engines;
  load.waiting = aSummary.waiting / engines;
  load.blocksUsed = aSummary.blocksUsed / engines;
  load.blocksTotal = aSummary.blocksTotal / engines;
  load.role = ToString(aEngine.role);
  load.state = "ready";
  return load;
}

} // namespace

ServiceSummary Summarize(const Service& aService, const DataCentreName& aDataCentre,
                         const LoadLookup& aLookup)
{
  ServiceSummary summary;
  for (const BackendServer& engine : aService.backendServers) {
    if (engine.dataCentre != aDataCentre) {
      continue;
    }
    const std::optional<EngineLoadValue> load = aLookup(engine.name);
    if (!load || load->state != kReadyState) {
      summary.unusable.insert(engine.name);
      continue;
    }
    ++summary.usable;
    summary.running += load->running;
    summary.waiting += load->waiting;
    summary.blocksUsed += load->kvBlocksUsed;
    summary.blocksTotal += load->kvBlocksTotal;
  }
  return summary;
}

net::Task<void> PublishSummaries(std::shared_ptr<GatewayParts> aParts)
{
  while (aParts->peering && aParts->drain.Phase() == DrainPhase::Serving) {
    co_await net::Sleep(kSummaryInterval);
    const ConfigurationPointer configuration = aParts->configuration.Current();
    if (!configuration) {
      continue;
    }
    for (const Service& service : configuration->Services()) {
      if (service.kind == ServiceKind::Model && ShouldPublish(*aParts, service)) {
        PublishSummary(*aParts, service);
      }
    }
  }
}

void OnSummaryEntry(GatewayParts& aParts, const Entry& aEntry)
{
  const std::size_t slash = aEntry.key.name.find('/');
  const std::optional<ServiceSummary> summary = DecodeServiceSummary(aEntry.value);
  const ConfigurationPointer configuration = aParts.configuration.Current();
  if (slash == std::string::npos || !summary || !configuration || aEntry.IsStale()) {
    return;
  }
  const DataCentreName dataCentre(aEntry.key.name.substr(slash + 1));
  const Service* service =
    configuration->FindService(ServiceName(aEntry.key.name.substr(0, slash)));
  if (service == nullptr || dataCentre == aParts.settings.dataCentre) {
    return;
  }
  for (const BackendServer& engine : service->backendServers) {
    if (engine.dataCentre != dataCentre) {
      continue;
    }
    if (summary->unusable.contains(engine.name)) {
      aParts.engines->OnUnreachable(engine.name, net::Now());
    } else {
      aParts.engines->OnLoad(MeanLoad(*summary, engine, aEntry), net::Now());
    }
  }
}

} // namespace masticstep::gateway
