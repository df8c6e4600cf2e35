#include "SimulationState.hpp"

#include <algorithm>

namespace masticstep::bench {

namespace {

using routing::EngineRole;
using routing::EngineState;

// Lag of a load report inside its data centre: polling, then deltas every 500 ms (design 5.4).
constexpr Duration kShortestReportLag = Milliseconds(200);
constexpr std::int64_t kReportLagRange = 600; // ms
// Other data centres get a summary per service, by links between chosen members.
constexpr Duration kSummaryLag = Milliseconds(1200);
constexpr Duration kNearStateLag = Milliseconds(400);
constexpr Duration kFarStateLag = Milliseconds(1000);
constexpr Duration kCacheEventLag = Seconds(1);
constexpr double kLostCacheEvents = 0.05;
// Silence after which a broken stream is given up (design section 4).
constexpr Duration kSilence = Seconds(2);
// Polls that fail for this long make the owner spread the engine's state as down.
constexpr Duration kDownDetected = Seconds(3);

roles::Role RoleOf(EngineRole aRole)
{
  return static_cast<roles::Role>(aRole);
}

std::uint32_t EngineNumber(const EngineId& aEngine)
{
  return static_cast<std::uint32_t>(std::stoul(aEngine.Text()));
}

} // namespace

void SimulationState::TakeReport(std::uint32_t aEngine)
{
  const FakeEngine& engine = mEngines[aEngine];
  if (engine.state == EngineState::Down && !mOptions->isLossHidden) {
    return;
  }
  Snapshot snapshot{ aEngine, mNow, engine.Report() };
  if (engine.state == EngineState::Down) {
    snapshot.report.state = EngineState::Ready;
  }
  snapshot.report.sequence = ++mSequences[aEngine];
  mLatest[aEngine] = snapshot;
  mSnapshots.push_back(snapshot);
  const std::uint32_t number = static_cast<std::uint32_t>(mSnapshots.size() - 1);
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    if (DataCentreOfDaemon(i) == DataCentreOfEngine(aEngine)) {
      const Duration lag =
        kShortestReportLag + Milliseconds((aEngine * 131 + i * 197) % kReportLagRange);
      Push(mNow + lag, Kind::GiveReport, number, i);
    }
  }
}

void SimulationState::TakeSummary()
{
  for (std::uint32_t i = 0; i < kEngines; ++i) {
    if (mEngines[i].state == EngineState::Down) {
      continue;
    }
    Snapshot summary{ i, mNow, mEngines[i].Report() };
    std::uint32_t engines = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t blocks = 0;
    for (std::uint32_t j = 0; j < kEngines; ++j) {
      const bool isLike =
        DataCentreOfEngine(i) == DataCentreOfEngine(j) && IsOrderEngine(i) == IsOrderEngine(j) &&
        mEngines[i].role == mEngines[j].role && mEngines[j].state != EngineState::Down;
      if (isLike) {
        const routing::LoadReport report = mEngines[j].Report();
        ++engines;
        running += report.running;
        waiting += report.waiting;
        blocks += report.kvBlocksUsed;
      }
    }
    summary.report.running = running / engines;
    summary.report.waiting = waiting / engines;
    summary.report.kvBlocksUsed = blocks / engines;
    summary.report.sequence = ++mSequences[i];
    mSnapshots.push_back(summary);
    const std::uint32_t number = static_cast<std::uint32_t>(mSnapshots.size() - 1);
    for (std::uint32_t daemon = 0; daemon < kDaemons; ++daemon) {
      if (DataCentreOfDaemon(daemon) != DataCentreOfEngine(i)) {
        Push(mNow + kSummaryLag, Kind::GiveReport, number, daemon);
      }
    }
  }
}

void SimulationState::Publish(std::uint32_t aEngine, const StepResult& aResult)
{
  if (aResult.stored.empty() && aResult.removed.empty()) {
    return;
  }
  EventBatch batch{ aEngine, {} };
  const auto add = [&](routing::CacheEventKind aKind, std::uint64_t aHash) {
    const std::uint64_t sequence = ++mCacheSequences[aEngine];
    if (!mRandom.Chance(kLostCacheEvents)) {
      batch.events.push_back({ EngineId(), sequence, aKind, aHash });
    }
  };
  for (const std::uint64_t hash : aResult.stored) {
    add(routing::CacheEventKind::Stored, hash);
  }
  for (const std::uint64_t hash : aResult.removed) {
    add(routing::CacheEventKind::Removed, hash);
  }
  mBatches.push_back(std::move(batch));
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    if (DataCentreOfDaemon(i) == DataCentreOfEngine(aEngine)) {
      Push(mNow + kCacheEventLag, Kind::GiveEvents, static_cast<std::uint32_t>(mBatches.size() - 1),
           i);
    }
  }
}

void SimulationState::Spread(std::uint32_t aEngine, EngineState aState, Duration aDelay)
{
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    const bool isNear = DataCentreOfDaemon(i) == DataCentreOfEngine(aEngine);
    Push(mNow + aDelay + (isNear ? kNearStateLag : kFarStateLag), Kind::GiveState, aEngine,
         static_cast<std::uint32_t>(aState), i);
  }
}

void SimulationState::OnRoleTick(std::uint32_t aDataCentre)
{
  RoleController& controller = *mControllers[aDataCentre];
  roles::WorkloadSample work;
  for (std::uint32_t i = 0; i < kDaemons; ++i) {
    if (DataCentreOfDaemon(i) == aDataCentre) {
      work.promptWork += mDaemons[i].arrivedWork.promptWork;
      work.outputWork += mDaemons[i].arrivedWork.outputWork;
      mDaemons[i].arrivedWork = {};
    }
  }
  controller.OnWorkload(work, mNow);
  for (std::uint32_t i = 0; i < kModelEngines; ++i) {
    if (DataCentreOfEngine(i) == aDataCentre && mSequences[i] > 0) {
      const Snapshot& latest = mLatest[i];
      const bool isHealthy = mNow - latest.taken < kDownDetected;
      controller.OnEngineStatus({ EngineId(std::to_string(i)), RoleOf(latest.report.role),
                                  isHealthy, latest.report.running + latest.report.waiting },
                                latest.taken);
    }
  }
  for (const roles::RoleAction& action : controller.Plan(mNow)) {
    Apply(aDataCentre, action);
  }
}

void SimulationState::Apply(std::uint32_t aDataCentre, const roles::RoleAction& aAction)
{
  const std::uint32_t number = EngineNumber(aAction.engine);
  FakeEngine& engine = mEngines[number];
  if (aAction.kind == roles::RoleActionKind::Drain) {
    if (engine.state == EngineState::Ready) {
      engine.state = EngineState::Draining;
      Spread(number, EngineState::Draining, Duration{ 0 });
    }
    return;
  }
  // A request may have been on its way when the report was taken; no stream is cut for a change.
  if (engine.Requests() > 0 || engine.state != EngineState::Draining) {
    if (engine.state == EngineState::Draining) {
      engine.state = EngineState::Ready;
      Spread(number, EngineState::Ready, Duration{ 0 });
    }
    mControllers[aDataCentre]->OnChangeFailed(aAction.engine, mNow);
    return;
  }
  engine.state = EngineState::ChangingRole;
  Push(mNow + mOptions->installation.roleChange, Kind::RoleDone, number,
       static_cast<std::uint32_t>(aAction.role));
}

void SimulationState::OnRoleDone(std::uint32_t aEngine, std::uint32_t aRole)
{
  FakeEngine& engine = mEngines[aEngine];
  if (engine.state != EngineState::ChangingRole) {
    return;
  }
  engine.role = static_cast<EngineRole>(aRole);
  engine.state = EngineState::Ready;
  ++mResult.roleChanges;
  Spread(aEngine, EngineState::Ready, Duration{ 0 });
  mControllers[DataCentreOfEngine(aEngine)]->OnRoleChanged(EngineId(std::to_string(aEngine)),
                                                           static_cast<roles::Role>(aRole), mNow);
}

void SimulationState::OnCrash(std::uint32_t aEngine)
{
  FakeEngine& engine = mEngines[aEngine];
  engine.state = EngineState::Down;
  ++mIncarnations[aEngine];
  for (const Sequence& sequence : engine.Crash()) {
    Push(mNow + kSilence, Kind::Failed, sequence.request, sequence.attempt,
         static_cast<std::uint32_t>(routing::FailureKind::Silent));
  }
  if (!mOptions->isLossHidden) {
    Spread(aEngine, EngineState::Down, kDownDetected);
  }
}

} // namespace masticstep::bench
