#include "RoleControl.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <random>
#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kStepInterval = Seconds(1);
constexpr Duration kReportInterval = Seconds(5);
// Used if only some of the daemons report; see kMaximumReporters.
constexpr Duration kSampledReportInterval = Seconds(10);
constexpr const char* kLeaseKey = "roles";
constexpr std::uint8_t kReadyState = 0; // state codes in EngineLoadValue
constexpr std::uint8_t kDrainingState = 1;

std::string MakeProcessNonce()
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kLength = 16;
  std::random_device device;
  std::string text;
  for (int i = 0; i < kLength; ++i) {
    text += kDigits[device() % kDigits.size()];
  }
  return text;
}

roles::RolePolicy PolicyOf(const Service& aService)
{
  roles::RolePolicy policy;
  policy.changeCost = ToSeconds(aService.rolePolicy.changeCost);
  policy.minimumInterval = aService.rolePolicy.minimumInterval;
  policy.maximumShare = aService.rolePolicy.maximumShare;
  return policy;
}

roles::Role RoleOf(std::uint8_t aNumber)
{
  constexpr std::uint8_t kPrefill = 1;
  constexpr std::uint8_t kDecode = 2;
  if (aNumber == kPrefill) {
    return roles::Role::Prefill;
  }
  return aNumber == kDecode ? roles::Role::Decode : roles::Role::Mixed;
}

} // namespace

RoleControl::RoleControl(std::shared_ptr<GatewayParts> aParts,
                         std::shared_ptr<platform::ObjectStore> aStore, net::Executor aExecutor)
  : mParts(std::move(aParts))
  , mStore(std::move(aStore))
  , mExecutor(std::move(aExecutor))
{
}

net::Task<void> RoleControl::Run()
{
  const std::shared_ptr<RoleControl> self = shared_from_this();
  while (!mIsStopped && mParts->peering) {
    co_await net::Sleep(kStepInterval);
    const ConfigurationPointer configuration = mParts->configuration.Current();
    if (!mIsStopped && configuration) {
      Step(*configuration, net::Now());
    }
  }
  if (mAuthority) {
    mAuthority->Release();
  }
}

void RoleControl::Stop()
{
  mIsStopped = true;
}

void RoleControl::Step(const Configuration& aConfiguration, Time aNow)
{
  ReportWork(aNow);
  UpdateCandidacy();
  if (!mAuthority) {
    return;
  }
  ApplyConfiguration(aConfiguration);
  const bool isHolder = mAuthority->IsHolder();
  if (isHolder && !mWasHolder) {
    telemetry::Log(telemetry::Level::Info, "role control lease acquired", {});
    ClearStaleDrains(aConfiguration);
  }
  mWasHolder = isHolder;
  const WorkByService work = DataCentreWork();
  for (const std::pair<const ServiceName, std::shared_ptr<control::RoleController>>& item :
       mControllers) {
    SendObservations(*item.second, *aConfiguration.FindService(item.first), work, aNow);
    item.second->Tick(aNow);
  }
}

void RoleControl::ReportWork(Time aNow)
{
  if (mLastReport == Time{}) {
    mLastReport = aNow;
  }
  std::vector<HostName> members;
  for (const MemberRecord& member : mParts->peering->LocalMembers()) {
    members.push_back(member.name);
  }
  const Duration interval =
    members.size() > kMaximumReporters ? kSampledReportInterval : kReportInterval;
  const Duration span = aNow - mLastReport;
  if (span < interval) {
    return;
  }
  mLastReport = aNow;
  const WorkByService work = mParts->work.Take(span);
  const HostName& host = mParts->settings.host;
  if (IsWorkReporter(host, std::move(members))) {
    mParts->peering->Publish({ EntryKind::OfferedWork, host.Text() }, EncodeWork(work));
  }
}

WorkByService RoleControl::DataCentreWork() const
{
  WorkByService work;
  std::size_t reporters = 0;
  for (const Entry& entry : mParts->peering->Entries(EntryKind::OfferedWork)) {
    if (!entry.IsStale()) {
      AddEncodedWork(entry.value, work);
      ++reporters;
    }
  }
  ScaleWork(work, reporters, mParts->peering->LocalMembers().size());
  return work;
}

void RoleControl::UpdateCandidacy()
{
  const bool isCandidate = mParts->peering->Role(kLeaseKey) != OwnerRole::None;
  if (isCandidate == (mAuthority != nullptr)) {
    return;
  }
  if (!isCandidate) {
    mAuthority->Release();
    mAuthority = nullptr;
    mControllers.clear();
    mGeneration = 0;
    mWasHolder = false;
    return;
  }
  control::AuthorityOptions options;
  options.dataCentre = mParts->settings.dataCentre;
  options.role = kLeaseKey;
  options.holder = mParts->settings.host;
  options.processNonce = MakeProcessNonce();
  mAuthority = std::make_shared<control::EngineAuthority>(mExecutor, mStore, std::move(options));
  mAuthority->Start();
}

bool RoleControl::IsLocal(const BackendServer& aEngine) const
{
  return aEngine.dataCentre == mParts->settings.dataCentre;
}

void RoleControl::ApplyConfiguration(const Configuration& aConfiguration)
{
  if (aConfiguration.Generation() == mGeneration) {
    return;
  }
  mGeneration = aConfiguration.Generation();
  std::vector<control::EngineTarget> targets;
  Controllers controllers;
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != ServiceKind::Model) {
      continue;
    }
    std::shared_ptr<control::RoleController>& controller = controllers[service.name];
    const Controllers::iterator it = mControllers.find(service.name);
    if (it != mControllers.end()) {
      controller = it->second;
      controller->SetPolicy(PolicyOf(service));
    } else {
      controller = std::make_shared<control::RoleController>(
        mAuthority, std::make_shared<RoleChangeDrainer>(mParts->peering), PolicyOf(service));
    }
    for (const BackendServer& engine : service.backendServers) {
      if (IsLocal(engine)) {
        targets.push_back(
          { engine.name, AddressOf(engine.url), engine.url.path, engine.refusesOldFencing });
      }
    }
  }
  mControllers = std::move(controllers);
  mAuthority->SetEngines(std::move(targets));
}

void RoleControl::SendObservations(control::RoleController& aController, const Service& aService,
                                   const WorkByService& aWork, Time aNow)
{
  const WorkByService::const_iterator it = aWork.find(aService.name);
  aController.OnWorkload(it == aWork.end() ? roles::WorkloadSample{} : it->second, aNow);
  for (const BackendServer& engine : aService.backendServers) {
    const std::optional<Entry> entry =
      mParts->peering->Find({ EntryKind::EngineLoad, engine.name.Text() });
    const std::optional<EngineLoadValue> load =
      entry ? DecodeEngineLoad(entry->value) : std::nullopt;
    if (!IsLocal(engine) || !load) {
      continue;
    }
    const bool isUp = load->state == kReadyState || load->state == kDrainingState;
    roles::EngineStatus status;
    status.engine = engine.name;
    status.role = RoleOf(load->role);
    status.isHealthy = isUp && !entry->IsStale() && !IsLeaving(*mParts->peering, engine.name);
    status.requests = static_cast<std::uint32_t>(load->running) + load->waiting;
    aController.OnEngineStatus(status, aNow - entry->age - Milliseconds(load->ageMs));
  }
}

void RoleControl::ClearStaleDrains(const Configuration& aConfiguration)
{
  RoleChangeDrainer drains(mParts->peering);
  for (const Service& service : aConfiguration.Services()) {
    for (const BackendServer& engine : service.backendServers) {
      const std::optional<Entry> entry = mParts->peering->Find(RoleDrainKey(engine.name));
      if (IsLocal(engine) && entry && !entry->value.empty()) {
        drains.Resume(engine.name);
      }
    }
  }
}

} // namespace masticstep::gateway
