#include "masticstep/routing/Router.hpp"
#include "masticstep/testing/Test.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace masticstep;
using namespace masticstep::routing;

namespace {

constexpr std::uint32_t kEngineCount = 4;

// Encodes one random event: the low six bits select its kind, the other bits its parameters.
using Step = std::uint32_t;

// Applies random events to a router and checks it against a reference model.
class RouterModel
{
public:
  explicit RouterModel(std::uint64_t aSeed)
    : mRouter(MakeRouter(aSeed))
  {
    for (std::uint32_t i = 0; i < kEngineCount; ++i) {
      mRouter.SetEngine({ Id(i), ServiceName("drafting"), DataCentreName("a"), RegionName("a") });
    }
  }

  void Apply(Step aStep)
  {
    mNow += Milliseconds((aStep >> 6U) & 255U);
    const std::uint32_t engine = (aStep >> 14U) % kEngineCount;
    const std::uint32_t kind = aStep & 63U;
    if (kind < 30) {
      Choose(aStep);
    } else if (kind < 40) {
      Finish((aStep & 64U) != 0);
    } else if (kind < 46) {
      Fail(static_cast<FailureKind>((aStep >> 16U) % 6U));
    } else if (kind < 52) {
      const EngineState state = static_cast<EngineState>((aStep >> 16U) % 4U);
      mStates[engine] = state;
      mRouter.OnEngineState(Id(engine), state, mNow);
    } else if (kind < 58) {
      SendReport(engine, aStep);
    } else {
      mRouter.OnCacheEvent({ Id(engine), ++mSequence + (aStep >> 28U),
                             static_cast<CacheEventKind>(aStep >> 31U), aStep & 1023U },
                           mNow);
    }
  }

  void Check() const
  {
    RC_ASSERT(mRouter.InFlight() == mInFlight.size());
    std::map<EngineId, std::size_t> inFlightByEngine;
    for (const std::pair<const std::uint64_t, EngineId>& item : mInFlight) {
      ++inFlightByEngine[item.second];
    }
    for (const EngineView& view : mRouter.Engines(mNow)) {
      RC_ASSERT(view.localInFlight == inFlightByEngine[view.id]);
      RC_ASSERT(view.running >= 0.0 && view.waitingTokens >= 0.0 && view.freeBlocks >= 0.0);
    }
    const ServiceCapacity capacity = mRouter.CapacityOf(ServiceName("drafting"), mNow);
    RC_ASSERT((capacity.localTokensInFlight == 0) == mInFlight.empty());
  }

private:
  static EngineId Id(std::uint32_t aNumber) { return EngineId("e" + std::to_string(aNumber)); }

  static Router MakeRouter(std::uint64_t aSeed)
  {
    RouterOptions options;
    options.seed = aSeed;
    options.prefixHashesPerEngine = 16;
    options.classes.push_back({ ServiceName("drafting"), ClassName("counter") });
    return Router::Create(options).value();
  }

  void Choose(Step aStep)
  {
    RouteRequest request;
    request.id = RequestId{ mNextId++ };
    request.service = ServiceName("drafting");
    request.className = ClassName("counter");
    request.account = AccountName(std::to_string(aStep & 7U));
    request.promptTokens = 1 + (aStep >> 18U);
    request.maxTokens = 1 + ((aStep >> 6U) & 1023U);
    request.prefixHashes = { aStep & 15U, aStep & 1023U };
    request.arrived = mNow;
    request.deadline = mNow + Seconds(30);
    request.excluded = { Id(aStep % kEngineCount) };
    const Result<RouteDecision, RouteError> decision = mRouter.Choose(request, mNow);
    if (!decision) {
      return;
    }
    RC_ASSERT(decision->engine != request.excluded[0]);
    for (std::uint32_t i = 0; i < kEngineCount; ++i) {
      RC_ASSERT(decision->engine != Id(i) || mStates[i] == EngineState::Ready);
    }
    // A request that is already in flight cannot be routed again.
    RC_ASSERT(!mRouter.Choose(request, mNow).has_value());
    mInFlight[request.id.value] = decision->engine;
    mRouter.OnDispatched(request.id, mNow);
  }

  void Finish(bool aHasTokens)
  {
    if (mInFlight.empty()) {
      return;
    }
    const RequestId id{ mInFlight.begin()->first };
    if (aHasTokens) {
      mRouter.OnTokens(id, 1, mNow);
      mRouter.OnTokens(id, 5, mNow);
    }
    mRouter.OnFinished(id, mNow);
    // Late or duplicate events of a finished request must have no effect.
    mRouter.OnFinished(id, mNow);
    mRouter.OnTokens(id, 1, mNow);
    mInFlight.erase(id.value);
  }

  void Fail(FailureKind aKind)
  {
    if (mInFlight.empty()) {
      return;
    }
    const RequestId id{ mInFlight.rbegin()->first };
    mRouter.OnFailed(id, aKind, mNow);
    mRouter.OnFailed(id, aKind, mNow);
    mInFlight.erase(id.value);
  }

  void SendReport(std::uint32_t aEngine, Step aStep)
  {
    LoadReport report;
    report.engine = Id(aEngine);
    report.sequence = 1 + (aStep >> 20U);
    report.age = Milliseconds(aStep & 1023U);
    report.running = (aStep >> 6U) & 31U;
    report.waiting = (aStep >> 11U) & 31U;
    report.kvBlocksUsed = (aStep >> 6U) & 4095U;
    report.kvBlocksTotal = 2000;
    // The platform starts the drain without telling the engine, which still reports Ready.
    report.state =
      mStates[aEngine] == EngineState::Draining ? EngineState::Ready : mStates[aEngine];
    mRouter.OnLoadReport(report, mNow);
  }

  Router mRouter;
  Time mNow{};
  std::uint64_t mNextId = 0;
  std::uint64_t mSequence = 0;
  std::map<std::uint32_t, EngineState> mStates{ { 0, EngineState::Ready },
                                                { 1, EngineState::Ready },
                                                { 2, EngineState::Ready },
                                                { 3, EngineState::Ready } };
  std::map<std::uint64_t, EngineId> mInFlight;
};

} // namespace

// Guards against lost or duplicate requests, against requests sent to engines that are not ready or
// that the request excludes because an earlier attempt failed there, and against negative load
// estimates.
MASTICSTEP_TEST("no event sequence loses a request or sends one to an engine that is not ready",
                "[routing][property]")
{
  masticstep::testing::CheckProperty("router event sequences", [] {
    RouterModel model(*rc::gen::arbitrary<std::uint64_t>());
    const std::vector<Step> steps =
      *rc::gen::container<std::vector<Step>>(rc::gen::arbitrary<Step>());
    for (const Step step : steps) {
      model.Apply(step);
      model.Check();
    }
  });
}
