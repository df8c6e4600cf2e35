#include "StageController.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kPlanInterval = Milliseconds(500);
// Part of a data centre's engines that may change stage at the same time while requests are served.
// An engine is out of service for seconds meanwhile.
constexpr double kMaximumChangeShare = 0.1;

} // namespace

StageController::StageController(std::shared_ptr<RelayState> aState,
                                 std::shared_ptr<control::EngineAuthority> aAuthority,
                                 StageOrderNames aNames, dispatch::StagePolicy aPolicy,
                                 bool aEnginesCheckFencing)
  : mState(std::move(aState))
  , mAuthority(std::move(aAuthority))
  , mNames(std::move(aNames))
  , mPolicy(aPolicy)
  , mEnginesCheckFencing(aEnginesCheckFencing)
{
}

net::Task<void> StageController::Run()
{
  const std::shared_ptr<StageController> self = shared_from_this();
  const Time electionEnd = net::Now() + kElectionTime;
  bool isStarted = false;
  while (!mIsStopped) {
    co_await net::Sleep(kPlanInterval);
    // One lease candidate per data centre suffices and keeps the load on the store low.
    const bool isCandidate = mState->storeSync.isStorePoller && net::Now() >= electionEnd;
    if (!isStarted && isCandidate && !mIsStopped) {
      mAuthority->Start();
      isStarted = true;
    }
    if (!mIsStopped && mAuthority->IsHolder() && mState->table) {
      Plan();
    }
  }
}

void StageController::Stop()
{
  mIsStopped = true;
  mAuthority->Release();
}

void StageController::Plan()
{
  const std::map<BackendServerName, dispatch::Backend>& backends = mState->directory.Backends();
  std::vector<control::EngineTarget> targets;
  for (const auto& [id, backend] : backends) {
    if (backend.stage != dispatch::Stage::Whole) {
      targets.push_back(
        { id, { backend.address.ip, backend.address.port }, {}, mEnginesCheckFencing });
    }
  }
  mAuthority->SetEngines(std::move(targets));
  for (const dispatch::ServiceTraits& service : mState->table->Services()) {
    if (service.engine) {
      PlanService(service);
    }
  }
}

void StageController::PlanService(const dispatch::ServiceTraits& aService)
{
  const Time now = net::Now();
  const std::map<BackendServerName, dispatch::Backend>& backends = mState->directory.Backends();
  const std::optional<double> measured = mState->stageDemand.DecodeShare(aService.name, now);
  // A daemon that takes over the lease while requests are served continues from the stages that its
  // predecessor chose.
  const std::optional<double> current =
    measured ? dispatch::CurrentDecodeShare(backends, aService.name) : std::nullopt;
  const double start = current.value_or(dispatch::InitialDecodeShare(aService.engine->slots));
  dispatch::DecodeShareController& share = mShares.try_emplace(aService.name, start).first->second;
  dispatch::StagePolicy policy = mPolicy;
  policy.decodeShare = share.Update(measured, now);
  LogShare(aService.name, policy.decodeShare, measured);
  // Without requests no capacity is needed, so all engines may change at once.
  policy.maximumChangeShare = measured ? kMaximumChangeShare : 1.0;
  for (const dispatch::StageChange& change :
       dispatch::PlanStages(backends, aService.name, policy, mChanging)) {
    IssueStageChange(change);
  }
}

void StageController::LogShare(const ServiceName& aService, double aShare,
                               std::optional<double> aMeasured)
{
  const auto [it, isNew] = mLoggedShares.try_emplace(aService, aShare);
  if (!isNew && it->second == aShare) {
    return;
  }
  it->second = aShare;
  const dispatch::StageNeed need = mState->stageDemand.TotalNeed(aService, net::Now());
  telemetry::Log(Level::Info, "decode share changed",
                 { { "service", aService.Text() },
                   { "share", aShare },
                   { "measured_share", aMeasured.value_or(0.0) },
                   { "prefill_s", need.prefillSeconds },
                   { "slot_s", need.slotSeconds },
                   { "kv_cache_s", need.kvCacheSeconds },
                   { "transfer_s", need.transferSeconds } });
}

void StageController::IssueStageChange(const dispatch::StageChange& aChange)
{
  mChanging.insert_or_assign(aChange.engine, aChange.stage);
  const bool toPrefill = aChange.stage == dispatch::Stage::Prefill;
  telemetry::Log(Level::Info, "stage change begins",
                 { { "engine", aChange.engine.Text() },
                   { "stage", toPrefill ? mNames.prefill : mNames.decode } });
  mAuthority->SendCommand(
    { aChange.engine, mNames.operation, toPrefill ? mNames.prefill : mNames.decode },
    [self = shared_from_this(), engine = aChange.engine](control::CommandResult aResult) {
      self->mChanging.erase(engine);
      telemetry::Log(
        aResult == control::CommandResult::Done ? Level::Info : Level::Warning, "stage change ends",
        { { "engine", engine.Text() }, { "done", aResult == control::CommandResult::Done } });
    });
}

} // namespace masticstep::relay
