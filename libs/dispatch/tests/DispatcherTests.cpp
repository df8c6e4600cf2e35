#include "masticstep/dispatch/Dispatcher.hpp"

#include "masticstep/testing/Test.hpp"

#include <set>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "llm" };
const Locality kLocality{ DataCentreName{ "d1" }, RegionName{ "r1" } };
constexpr Time kStart{ Seconds(100) };

Backend MakeEngine(const std::string& aId, Stage aStage, const std::string& aLocalityNumber = "1")
{
  Backend engine;
  engine.id = BackendServerName{ aId };
  engine.service = kService;
  engine.address = { "10.0.0.1", static_cast<std::uint16_t>(1000 + aId.back()) };
  engine.dataCentre = DataCentreName{ "d" + aLocalityNumber };
  engine.region = RegionName{ "r" + aLocalityNumber };
  engine.slots = 64;
  engine.stage = aStage;
  return engine;
}

std::map<BackendServerName, Backend> ById(const std::vector<Backend>& aEngines)
{
  std::map<BackendServerName, Backend> engines;
  for (const Backend& engine : aEngines) {
    engines[engine.id] = engine;
  }
  return engines;
}

std::shared_ptr<const RouteTable> MakeTable()
{
  RouteTable::Parts parts;
  ServiceTraits service;
  service.name = kService;
  service.engine = EngineTraits{ 64, 400000, 160000.0, 1000000.0, 9, Seconds(5), Seconds(3) };
  parts.services = { service };
  return *RouteTable::Create(std::move(parts));
}

PromptRequest MakeWork(std::uint32_t aTokens, std::uint64_t aShared = 7, std::uint64_t aOwn = 70)
{
  PromptRequest work;
  work.service = kService;
  work.prompt = {
    "m", aTokens, 100, { { aShared, aTokens / 2 }, { aOwn, aTokens - aTokens / 2 } }
  };
  work.keys = PrefixKeys(work.prompt);
  return work;
}

Dispatcher MakeDispatcher(const std::vector<Backend>& aEngines, std::uint64_t aSeed = 1)
{
  Dispatcher dispatcher(kLocality, aSeed);
  dispatcher.SetTable(MakeTable());
  dispatcher.SetBackends(ById(aEngines));
  return dispatcher;
}

} // namespace

// Guards against short prompts that wait for seconds behind a long prompt of another daemon.
MASTICSTEP_TEST("a short prompt avoids an engine that prefills a long one of another daemon",
                "[dispatch][placement][replay]")
{
  Dispatcher dispatcher =
    MakeDispatcher({ MakeEngine("a", Stage::Prefill), MakeEngine("b", Stage::Prefill) });
  const std::optional<PrefillPlacement> firstPlacement =
    dispatcher.ChoosePrefillEngine(MakeWork(500), kStart);
  CHECK_TRUE(firstPlacement.has_value());
  dispatcher.OnPeerWork(HostName{ "front-2" }, 1,
                        { { firstPlacement->engine.id, { Seconds(1), 1, 0 } } }, kStart);
  const std::optional<PrefillPlacement> secondPlacement =
    dispatcher.ChoosePrefillEngine(MakeWork(500), kStart);
  CHECK_TRUE(secondPlacement->engine.id != firstPlacement->engine.id);
  CHECK_EQUAL(Duration::zero(), secondPlacement->wait);
}

// Guards against prefilling a common prefix again in each data centre.
MASTICSTEP_TEST("daemons without peer reports choose the same engine for a large common prefix",
                "[dispatch][placement][replay]")
{
  std::vector<Backend> engines;
  for (const std::string id : { "a", "b", "c", "d", "e", "f" }) {
    engines.push_back(MakeEngine(id, Stage::Prefill));
  }
  for (std::uint64_t shared = 1; shared < 20; ++shared) {
    std::set<BackendServerName> chosen;
    for (std::uint64_t seed = 1; seed < 5; ++seed) {
      Dispatcher dispatcher = MakeDispatcher(engines, seed);
      chosen.insert(
        dispatcher.ChoosePrefillEngine(MakeWork(8000, shared, seed), kStart)->engine.id);
    }
    CHECK_EQUAL(std::size_t{ 1 }, chosen.size());
  }
}

MASTICSTEP_TEST("a prompt goes to the engine that has cached its prefix", "[dispatch][placement]")
{
  Dispatcher dispatcher =
    MakeDispatcher({ MakeEngine("a", Stage::Prefill), MakeEngine("b", Stage::Prefill) });
  const PromptRequest first = MakeWork(8000, 7, 70);
  PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(first, kStart);
  const BackendServerName other{ placement.engine.id.Text() == "a" ? "b" : "a" };
  dispatcher.OnPrefillDone(other, first, placement, Milliseconds(100), kStart);
  dispatcher.OnPrefillDone(other, MakeWork(8000, 7, 71), placement, Milliseconds(100), kStart);
  placement = *dispatcher.ChoosePrefillEngine(MakeWork(8000, 7, 72), kStart);
  CHECK_TRUE(placement.prefillTime < Milliseconds(130));
}

MASTICSTEP_TEST("small requests stay in the data centre until its load is much higher",
                "[dispatch][placement]")
{
  Dispatcher dispatcher =
    MakeDispatcher({ MakeEngine("a", Stage::Prefill), MakeEngine("b", Stage::Prefill, "2") });
  CHECK_EQUAL(std::string("a"),
              dispatcher.ChoosePrefillEngine(MakeWork(500), kStart)->engine.id.Text());
  dispatcher.OnSent(BackendServerName{ "a" }, RequestId{ 1 }, Seconds(1), 0, kStart);
  CHECK_EQUAL(std::string("b"),
              dispatcher.ChoosePrefillEngine(MakeWork(500), kStart)->engine.id.Text());
}

// Guards against refusing all requests when every engine for prefill is lost.
MASTICSTEP_TEST("an engine for decoding prefills the prompt if no other engine is available",
                "[dispatch][placement][failure]")
{
  Dispatcher dispatcher = MakeDispatcher({ MakeEngine("a", Stage::Decode) });
  CHECK_EQUAL(std::string("a"),
              dispatcher.ChoosePrefillEngine(MakeWork(500), kStart)->engine.id.Text());
}

MASTICSTEP_TEST("an answer is decoded near its prompt and on an engine with capacity",
                "[dispatch][placement]")
{
  const Backend reader = MakeEngine("r", Stage::Prefill);
  Dispatcher dispatcher =
    MakeDispatcher({ reader, MakeEngine("a", Stage::Decode), MakeEngine("b", Stage::Decode),
                     MakeEngine("c", Stage::Decode, "2") });
  for (std::uint64_t i = 0; i < 40; ++i) {
    const std::optional<Backend> engine =
      dispatcher.ChooseDecodeEngine(MakeWork(8000), &reader, kStart);
    CHECK_TRUE(engine->id.Text() != "c");
    dispatcher.OnSent(engine->id, RequestId{ i }, Duration::zero(), 8000, kStart);
  }
  const dispatch::OutstandingWork a = dispatcher.LocalWork(kStart)[BackendServerName{ "a" }];
  const dispatch::OutstandingWork b = dispatcher.LocalWork(kStart)[BackendServerName{ "b" }];
  CHECK_TRUE(a.requests >= 15 && b.requests >= 15);
}

// Guards against an engine that stays idle after a single refusal, for example while it changed its
// stage, since its failure rate falls only with requests that it does not get.
MASTICSTEP_TEST("an engine that refused a request receives others after a time",
                "[dispatch][placement][failure]")
{
  const Backend reader = MakeEngine("r", Stage::Prefill);
  Dispatcher dispatcher =
    MakeDispatcher({ reader, MakeEngine("a", Stage::Decode), MakeEngine("b", Stage::Decode) });
  dispatcher.OnSent(BackendServerName{ "a" }, RequestId{ 1 }, Duration::zero(), 8000, kStart);
  dispatcher.OnDone(BackendServerName{ "a" }, RequestId{ 1 }, Outcome::Refused, kStart);
  std::size_t chosen = 0;
  for (std::uint64_t i = 0; i < 200; ++i) {
    const Time now = kStart + Seconds(20) + Milliseconds(static_cast<std::int64_t>(100 * i));
    const std::optional<Backend> engine =
      dispatcher.ChooseDecodeEngine(MakeWork(8000), &reader, now);
    chosen += engine->id.Text() == "a" ? 1U : 0U;
    dispatcher.OnSent(engine->id, RequestId{ 2 + i }, Duration::zero(), 8000, now);
    dispatcher.OnDone(engine->id, RequestId{ 2 + i }, Outcome::Answered, now);
  }
  CHECK_TRUE(chosen > 0);
}

MASTICSTEP_TEST("draining and excluded servers receive no requests", "[dispatch][placement][drain]")
{
  Backend draining = MakeEngine("a", Stage::Whole);
  draining.isDraining = true;
  Dispatcher dispatcher = MakeDispatcher({ draining, MakeEngine("b", Stage::Whole) });
  CHECK_EQUAL(std::string("b"), dispatcher.ChooseServer(kService, {}, kStart)->id.Text());
  CHECK_FALSE(dispatcher.ChooseServer(kService, { BackendServerName{ "b" } }, kStart).has_value());
}

// Guards against requests that reach a server in the time in which it wants none, even as the last
// resort, and against a server that gets none afterwards.
MASTICSTEP_TEST("a server that wants no requests for a time gets none in it",
                "[dispatch][placement][failure]")
{
  constexpr Duration kPause = Seconds(2);
  const BackendServerName only{ "a" };
  for (const Stage stage : { Stage::Whole, Stage::Prefill, Stage::Decode }) {
    Dispatcher dispatcher = MakeDispatcher({ MakeEngine("a", stage) });
    const auto isChosen = [&dispatcher](Time aNow) {
      const PromptRequest work = MakeWork(1000);
      return dispatcher.ChooseServer(kService, {}, aNow).has_value() ||
             dispatcher.ChoosePrefillEngine(work, aNow).has_value() ||
             dispatcher.ChooseDecodeEngine(work, nullptr, aNow).has_value();
    };
    CHECK_TRUE(isChosen(kStart));
    CHECK_FALSE(dispatcher.RetryAfter(kService, kStart).has_value());
    dispatcher.OnPause(only, kPause, kStart);
    dispatcher.OnPause(only, kPause / 2, kStart);
    CHECK_FALSE(isChosen(kStart + kPause - Milliseconds(1)));
    CHECK_TRUE(dispatcher.RetryAfter(kService, kStart).value() >= kPause);
    CHECK_TRUE(isChosen(kStart + kPause));
  }
}

// Guards against a self-inflicted outage: refusing is worse than trying a suspect server.
MASTICSTEP_TEST("if every breaker is open a server is still tried",
                "[dispatch][placement][failure]")
{
  Dispatcher dispatcher = MakeDispatcher({ MakeEngine("a", Stage::Whole) });
  dispatcher.OnSent(BackendServerName{ "a" }, RequestId{ 1 }, Duration::zero(), 0, kStart);
  dispatcher.OnDone(BackendServerName{ "a" }, RequestId{ 1 }, Outcome::Unreachable, kStart);
  CHECK_TRUE(dispatcher.ChooseServer(kService, {}, kStart).has_value());
}

// Guards against engines whose KV cache handles expire immediately.
MASTICSTEP_TEST("an engine whose KV cache cannot be fetched receives no prompts for a while",
                "[dispatch][placement][failure]")
{
  Dispatcher dispatcher =
    MakeDispatcher({ MakeEngine("a", Stage::Prefill), MakeEngine("b", Stage::Prefill) });
  for (int i = 0; i < 4; ++i) {
    dispatcher.OnKvTransfer(BackendServerName{ "a" }, false, kStart);
  }
  for (std::uint64_t shared = 0; shared < 20; ++shared) {
    CHECK_EQUAL(std::string("b"),
                dispatcher.ChoosePrefillEngine(MakeWork(8000, shared), kStart)->engine.id.Text());
  }
}

// Guards against using the state of a previous process under the same id.
MASTICSTEP_TEST("a restarted engine starts with an empty state", "[dispatch][placement][failure]")
{
  Backend engine = MakeEngine("a", Stage::Prefill);
  Dispatcher dispatcher = MakeDispatcher({ engine });
  const PromptRequest work = MakeWork(8000);
  const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(work, kStart);
  dispatcher.OnPrefillDone(engine.id, work, placement, Milliseconds(125), kStart);
  CHECK_EQUAL(Duration::zero(), dispatcher.ChoosePrefillEngine(work, kStart)->prefillTime);
  engine.startedAtMs = 9;
  dispatcher.SetBackends(ById({ engine }));
  CHECK_TRUE(dispatcher.ChoosePrefillEngine(work, kStart)->prefillTime > Milliseconds(50));
}

// Guards against a diverging estimate when other daemons keep the engine busy.
MASTICSTEP_TEST("slow observations hardly change the estimated prefill speed",
                "[dispatch][placement]")
{
  Dispatcher dispatcher = MakeDispatcher({ MakeEngine("a", Stage::Prefill) });
  for (std::uint64_t i = 0; i < 20; ++i) {
    const PromptRequest work = MakeWork(8000, 100 + i);
    const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(work, kStart);
    dispatcher.OnPrefillDone(placement.engine.id, work, placement, Seconds(2), kStart);
  }
  CHECK_TRUE(dispatcher.ChoosePrefillEngine(MakeWork(8000, 900), kStart)->prefillTime <
             Milliseconds(170));
}

MASTICSTEP_TEST("reports of a silent daemon expire", "[dispatch][peers][failure]")
{
  PeerWork peers;
  const BackendServerName engine{ "a" };
  peers.OnReport(HostName{ "f" }, 5, { { engine, { Milliseconds(400), 2, 10 } } }, kStart);
  peers.OnReport(HostName{ "f" }, 4, { { engine, { Seconds(9), 9, 9 } } }, kStart);
  CHECK_TRUE(peers.TotalAt(engine, kStart + Milliseconds(100)) ==
             dispatch::OutstandingWork({ Milliseconds(400), 2, 10 }));
  CHECK_EQUAL(std::size_t{ 1 }, peers.ActiveHosts(kStart).size());
  CHECK_TRUE(peers.TotalAt(engine, kStart + Seconds(2)) == dispatch::OutstandingWork{});
  CHECK_TRUE(peers.ActiveHosts(kStart + Seconds(2)).empty());
}

// Guards against prefill times that are overestimated at fast engines: the round trip to an engine
// can take as long as the prefill.
MASTICSTEP_TEST("network latency does not count as prefill time", "[dispatch][placement]")
{
  constexpr Duration kRoundTrip = Milliseconds(40);
  constexpr double kTokensPerSecond = 140000.0;
  Dispatcher dispatcher = MakeDispatcher({ MakeEngine("a", Stage::Prefill, "2") });
  for (std::uint64_t i = 0; i < 60; ++i) {
    const std::uint32_t tokens = i % 3 == 0 ? 10 : 3000;
    const PromptRequest work = MakeWork(tokens, 1000 + i, 2000 + i);
    const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(work, kStart);
    const Duration elapsed = kRoundTrip + FromSeconds(tokens / kTokensPerSecond);
    dispatcher.OnPrefillDone(placement.engine.id, work, placement, elapsed, kStart);
  }
  const double expected = 14000 / kTokensPerSecond;
  const PromptRequest next = MakeWork(14000, 1, 2);
  const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(next, kStart);
  CHECK_TRUE(ToSeconds(placement.prefillTime) < 1.1 * expected);
  CHECK_TRUE(ToSeconds(placement.prefillTime) > 0.9 * expected);
}
