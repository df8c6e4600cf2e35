#include "StageControl.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kPlanInterval = Milliseconds(500);
// Engines of all data centres that change at once while requests are served.
constexpr std::size_t kChangesAtOnce = 2;

} // namespace

StageControl::StageControl(std::shared_ptr<RelayParts> aParts,
                           std::shared_ptr<control::EngineAuthority> aAuthority, StageWords aWords,
                           dispatch::StagePolicy aPolicy, bool aEnginesCheckFencing)
  : mParts(std::move(aParts))
  , mAuthority(std::move(aAuthority))
  , mWords(std::move(aWords))
  , mPolicy(aPolicy)
  , mEnginesCheckFencing(aEnginesCheckFencing)
{
}

net::Task<void> StageControl::Run()
{
  const std::shared_ptr<StageControl> self = shared_from_this();
  bool isStarted = false;
  while (!mIsStopped) {
    co_await net::Sleep(kPlanInterval);
    // One candidate of each data centre is enough and spares the store.
    if (!isStarted && mParts->knowledge.isSentinel && !mIsStopped) {
      mAuthority->Start();
      isStarted = true;
    }
    if (!mIsStopped && mAuthority->IsHolder() && mParts->table) {
      Plan();
    }
  }
}

void StageControl::Stop()
{
  mIsStopped = true;
  mAuthority->Release();
}

void StageControl::Plan()
{
  const std::map<BackendServerName, dispatch::Backend>& backends = mParts->directory.All();
  std::vector<control::EngineTarget> targets;
  for (const auto& [id, backend] : backends) {
    if (backend.stage != dispatch::Stage::Whole) {
      targets.push_back(
        { id, { backend.address.ip, backend.address.port }, {}, mEnginesCheckFencing });
    }
  }
  mAuthority->SetEngines(std::move(targets));
  for (const dispatch::ServiceTraits& service : mParts->table->Services()) {
    if (service.engine) {
      PlanService(service);
    }
  }
}

void StageControl::PlanService(const dispatch::ServiceTraits& aService)
{
  const Time now = net::Now();
  const double start = dispatch::ExpectedAnswerShare(aService.engine->slots);
  dispatch::StageShare& share = mShares.try_emplace(aService.name, start).first->second;
  const std::optional<double> measured = mParts->demand.AnswerShare(aService.name, now);
  dispatch::StagePolicy policy = mPolicy;
  policy.answerShare = share.Follow(measured, now);
  // Without requests nobody misses the engines that change.
  policy.maximumChanges = measured ? 1 : 0;
  for (const dispatch::StageChange& change :
       dispatch::PlanStages(mParts->directory.All(), aService.name, policy)) {
    if (!mChanging.contains(change.engine) && (!measured || mChanging.size() < kChangesAtOnce)) {
      Give(change);
    }
  }
}

void StageControl::Give(const dispatch::StageChange& aChange)
{
  mChanging.insert(aChange.engine);
  const bool toReading = aChange.stage == dispatch::Stage::Prefill;
  telemetry::Log(Level::Info, "stage change begins",
                 { { "engine", aChange.engine.Text() },
                   { "stage", toReading ? mWords.reading : mWords.answering } });
  mAuthority->SendCommand(
    { aChange.engine, mWords.operation, toReading ? mWords.reading : mWords.answering },
    [self = shared_from_this(), engine = aChange.engine](control::CommandResult aResult) {
      self->mChanging.erase(engine);
      telemetry::Log(
        aResult == control::CommandResult::Done ? Level::Info : Level::Warning, "stage change ends",
        { { "engine", engine.Text() }, { "done", aResult == control::CommandResult::Done } });
    });
}

} // namespace masticstep::relay
