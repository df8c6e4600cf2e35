#include "masticstep/routing/Router.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::routing;

namespace {

Time At(std::int64_t aMilliseconds)
{
  return Time{ Milliseconds(aMilliseconds) };
}

EngineDescription MakeEngine(const std::string& aName, const std::string& aLocation = "a")
{
  return { EngineId(aName),
           ServiceName("drafting"),
           DataCentreName(aLocation),
           RegionName(aLocation),
           2000,
           EngineRole::Mixed };
}

Router MakeTwoEngineRouter(double aShedFactor = 0.6)
{
  RouterOptions options;
  options.shedFactor = aShedFactor;
  options.dataCentre = DataCentreName("a");
  options.region = RegionName("a");
  options.classes.push_back({ ServiceName("drafting"), ClassName("counter") });
  Router router = Router::Create(options).value();
  router.SetEngine(MakeEngine("e1"));
  router.SetEngine(MakeEngine("e2"));
  return router;
}

RouteRequest MakeRequest(std::uint64_t aId, Time aNow)
{
  RouteRequest request;
  request.id = RequestId{ aId };
  request.service = ServiceName("drafting");
  request.className = ClassName("counter");
  request.account = AccountName("dealer-1");
  request.promptTokens = 500;
  request.maxTokens = 200;
  request.arrived = aNow;
  request.deadline = aNow + Seconds(30);
  return request;
}

} // namespace

// Guards against sending new requests to a draining engine (invariant I7).
MASTICSTEP_TEST("a draining engine gets no new request", "[routing][drain]")
{
  Router router = MakeTwoEngineRouter();
  router.OnEngineState(EngineId("e1"), EngineState::Draining, At(0));
  for (std::uint64_t i = 0; i < 50; ++i) {
    CHECK_EQUAL(EngineId("e2"), router.Choose(MakeRequest(i, At(1)), At(1)).value().engine);
    router.OnFailed(RequestId{ i }, FailureKind::Cancelled, At(1));
  }
}

// Guards against a load report that ends a drain, and against an engine that stays Down after it
// has recovered.
MASTICSTEP_TEST("a later report ends the Down state but not a drain", "[routing][drain]")
{
  Router router = MakeTwoEngineRouter();
  LoadReport report;
  report.engine = EngineId("e1");
  report.sequence = 1;
  report.kvBlocksTotal = 2000;
  router.OnEngineState(EngineId("e1"), EngineState::Draining, At(0));
  router.OnLoadReport(report, At(10));
  CHECK_TRUE(EngineState::Draining == router.Engines(At(10))[0].state);
  router.OnEngineState(EngineId("e1"), EngineState::Down, At(20));
  report.sequence = 2;
  report.age = Milliseconds(15);
  router.OnLoadReport(report, At(30));
  CHECK_TRUE(EngineState::Down == router.Engines(At(30))[0].state);
  report.sequence = 3;
  router.OnLoadReport(report, At(40));
  CHECK_TRUE(EngineState::Ready == router.Engines(At(40))[0].state);
}

// Guards against sending a burst to one engine because its last report still shows it as idle.
MASTICSTEP_TEST("requests sent since the last report count towards the load", "[routing][load]")
{
  Router router = MakeTwoEngineRouter(0.0);
  for (std::uint64_t i = 0; i < 40; ++i) {
    CHECK_TRUE(router.Choose(MakeRequest(i, At(1)), At(1)).has_value());
  }
  for (const EngineView& view : router.Engines(At(1))) {
    CHECK_TRUE(view.localInFlight >= 12);
    CHECK_TRUE(view.running >= 12.0);
  }
}

// Guards against counting a request twice once a report includes it, and against losing a request
// that was sent after the report was taken.
MASTICSTEP_TEST("a late report is reconciled with what was sent after it", "[routing][load]")
{
  Router router = MakeTwoEngineRouter();
  router.OnEngineState(EngineId("e2"), EngineState::Draining, At(0));
  CHECK_TRUE(router.Choose(MakeRequest(1, At(100)), At(100)).has_value());
  CHECK_TRUE(router.Choose(MakeRequest(2, At(900)), At(900)).has_value());
  LoadReport report;
  report.engine = EngineId("e1");
  report.sequence = 1;
  report.age = Milliseconds(500);
  report.running = 1;
  report.kvBlocksTotal = 2000;
  router.OnLoadReport(report, At(1000));
  CHECK_EQUAL(2.0, router.Engines(At(1000))[0].running);
  // A report with a known sequence number is ignored.
  report.running = 9;
  router.OnLoadReport(report, At(1001));
  CHECK_EQUAL(2.0, router.Engines(At(1001))[0].running);
}

// Guards against an ejected engine that is never probed, and against concurrent probes.
MASTICSTEP_TEST("a failing engine is ejected and probed once", "[routing][ejection]")
{
  Router router = MakeTwoEngineRouter();
  router.OnEngineState(EngineId("e2"), EngineState::Draining, At(0));
  for (std::uint64_t i = 0; i < 3; ++i) {
    CHECK_TRUE(router.Choose(MakeRequest(i, At(1)), At(1)).has_value());
    router.OnFailed(RequestId{ i }, FailureKind::ConnectionFailed, At(2));
  }
  CHECK_TRUE(RouteErrorKind::NoEngine == router.Choose(MakeRequest(10, At(3)), At(3)).error().kind);
  CHECK_TRUE(router.Choose(MakeRequest(11, At(1100)), At(1100)).value().isProbe);
  CHECK_FALSE(router.Choose(MakeRequest(12, At(1100)), At(1100)).has_value());
}

MASTICSTEP_TEST("a request that cannot meet its deadline is refused", "[routing][deadline]")
{
  Router router = MakeTwoEngineRouter();
  RouteRequest request = MakeRequest(1, At(0));
  request.deadline = At(10);
  CHECK_TRUE(RouteErrorKind::DeadlineCannotBeMet == router.Choose(request, At(0)).error().kind);
  CHECK_EQUAL(0U, router.InFlight());
}

// Guards against accepting requests that will be late on every engine and delay the other requests.
MASTICSTEP_TEST("a request that load makes late on every engine is refused", "[routing][overload]")
{
  Router router = MakeTwoEngineRouter();
  std::uint64_t chosen = 0;
  Result<RouteDecision, RouteError> decision = router.Choose(MakeRequest(0, At(1)), At(1));
  while (decision && chosen < 100) {
    ++chosen;
    decision = router.Choose(MakeRequest(chosen, At(1)), At(1));
  }
  CHECK_TRUE(chosen > 2 && chosen < 100);
  CHECK_TRUE(RouteErrorKind::Overload == decision.error().kind);
  CHECK_EQUAL(chosen, router.InFlight());
  // A long prompt is not refused because of its own length.
  Router idle = MakeTwoEngineRouter();
  RouteRequest longest = MakeRequest(1, At(1));
  longest.promptTokens = 20000;
  CHECK_TRUE(idle.Choose(longest, At(1)).has_value());
}
