#pragma once

#include "Simulation.hpp"
#include "masticstep/admission/AdmissionQueue.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/retry/RetryPolicy.hpp"
#include "masticstep/roles/WorkEstimate.hpp"

#include <array>
#include <queue>

namespace masticstep::bench {

// Discrete-event simulation of 8 daemons, 21 engines and 3 role controllers on virtual time.
class SimulationState
{
public:
  SimulationState(const SimulationOptions& aOptions, const std::vector<WorkItem>& aItems);
  SimulationResult Run();

private:
  enum class Kind : std::uint8_t
  {
    Arrival,
    Deliver,    // a: request, b: attempt
    StepEnd,    // a: engine, b: its incarnation
    FirstToken, // a: request, b: attempt
    Finished,   // a: request, b: attempt
    Failed,     // a: request, b: attempt, c: failure kind
    Redispatch, // a: request
    TakeReport, // a: engine
    TakeSummary,
    GiveReport, // a: snapshot, b: daemon
    GiveState,  // a: engine, b: state, c: daemon
    GiveEvents, // a: batch, b: daemon
    DaemonTick, // a: daemon
    RoleTick,   // a: data centre
    RoleDone,   // a: engine, b: role
    Crash,      // a: engine
    Recover     // a: engine
  };
  struct Event
  {
    Time at;
    std::uint64_t order = 0;
    Kind kind = Kind::Arrival;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t c = 0;

    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };
  struct Daemon
  {
    std::unique_ptr<DispatchPolicy> dispatch;
    admission::AdmissionQueue admission;
    retry::RetryPolicy retry;
    roles::WorkloadSample arrivedWork;
  };
  struct RequestState
  {
    std::uint32_t engine = 0;
    std::uint32_t attempt = 0;
    std::uint32_t retries = 0;
    bool mayHaveRun = false;
    bool isDone = false;
    bool hasFirstToken = false;
    Time firstToken;
    std::vector<std::uint32_t> excluded;
  };
  struct Snapshot
  {
    std::uint32_t engine = 0;
    Time taken;
    routing::LoadReport report;
  };
  struct EventBatch
  {
    std::uint32_t engine = 0;
    std::vector<routing::CacheEvent> events;
  };

  void Push(Time aAt, Kind aKind, std::uint32_t aA, std::uint32_t aB = 0, std::uint32_t aC = 0);
  void Handle(const Event& aEvent);
  Duration Latency(std::uint32_t aDaemon, std::uint32_t aEngine) const;

  void OnArrival(std::uint32_t aRequest);
  void Dispatch(std::uint32_t aRequest);
  void OnNoCapacity(std::uint32_t aRequest);
  void Deliver(std::uint32_t aRequest, std::uint32_t aAttempt);
  void Answer(Kind aKind, const Sequence& aSequence);
  void Step(std::uint32_t aEngine);
  void OnStepEnd(std::uint32_t aEngine);
  void OnFirstToken(std::uint32_t aRequest);
  void OnFinished(std::uint32_t aRequest);
  void OnFailed(std::uint32_t aRequest, routing::FailureKind aKind);
  void End(std::uint32_t aRequest, std::uint32_t aTokens);
  void Judge(std::uint32_t aRequest);
  bool IsCurrent(std::uint32_t aRequest, std::uint32_t aAttempt) const;

  void TakeReport(std::uint32_t aEngine);
  void TakeSummary();
  void Publish(std::uint32_t aEngine, const StepResult& aResult);
  void Spread(std::uint32_t aEngine, routing::EngineState aState, Duration aDelay);
  void OnDaemonTick(std::uint32_t aDaemon);
  void Release(std::uint32_t aDaemon);
  void OnRoleTick(std::uint32_t aDataCentre);
  void Apply(std::uint32_t aDataCentre, const roles::RoleAction& aAction);
  void OnRoleDone(std::uint32_t aEngine, std::uint32_t aRole);
  void OnCrash(std::uint32_t aEngine);

  const SimulationOptions* mOptions;
  const std::vector<WorkItem>* mItems;
  Time mNow{};
  std::uint64_t mOrder = 0;
  Random mRandom;
  std::priority_queue<Event> mEvents;
  std::deque<FakeEngine> mEngines;
  std::vector<Daemon> mDaemons;
  std::vector<std::unique_ptr<RoleController>> mControllers;
  std::vector<RequestState> mRequests;
  std::array<std::uint64_t, kEngines> mSequences{};
  std::array<std::uint64_t, kEngines> mCacheSequences{};
  std::array<std::uint32_t, kEngines> mIncarnations{};
  std::array<Snapshot, kEngines> mLatest;
  std::vector<Snapshot> mSnapshots;
  std::vector<EventBatch> mBatches;
  SimulationResult mResult;
};

} // namespace masticstep::bench
