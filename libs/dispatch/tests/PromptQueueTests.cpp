#include "masticstep/dispatch/PromptQueue.hpp"

#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "llm" };
constexpr Time kStart{ Seconds(100) };
constexpr double kTokensPerSecond = 64000.0;

Dispatcher MakeDispatcher(int aEngines)
{
  Dispatcher dispatcher({ DataCentreName{ "d" }, RegionName{ "r" } }, 1);
  std::map<BackendServerName, Backend> engines;
  for (int i = 0; i < aEngines; ++i) {
    Backend engine;
    engine.id = BackendServerName{ "e-" + std::to_string(i) };
    engine.service = kService;
    engine.dataCentre = DataCentreName{ "d" };
    engine.region = RegionName{ "r" };
    engine.stage = Stage::Prefill;
    engines[engine.id] = engine;
  }
  dispatcher.SetBackends(engines);
  return dispatcher;
}

QueuedPrompt MakePrompt(std::uint64_t aId, std::uint32_t aTokens, std::uint8_t aPriority,
                        Time aArrived, Duration aTarget)
{
  QueuedPrompt prompt;
  prompt.id = RequestId{ aId };
  prompt.request.service = kService;
  prompt.request.prompt = { "m", aTokens, 10, { { aId, aTokens } } };
  prompt.request.keys = PrefixKeys(prompt.request.prompt);
  prompt.priority = RequestPriority(aPriority);
  prompt.arrived = aArrived;
  prompt.target = aArrived + aTarget;
  prompt.callerDeadline = aArrived + Seconds(2);
  return prompt;
}

const SoftwareVersion kOldVersion{ "v1" };
const SoftwareVersion kNewVersion{ "v2" };

// An engine of the older version at the given stage, and one of the newer version that decodes.
std::map<BackendServerName, Backend> MakeTwoVersions(Stage aOldStage)
{
  std::map<BackendServerName, Backend> engines;
  for (const SoftwareVersion& version : { kOldVersion, kNewVersion }) {
    Backend engine;
    engine.id = BackendServerName{ version.Text() };
    engine.service = kService;
    engine.slots = 8;
    engine.stage = version == kOldVersion ? aOldStage : Stage::Decode;
    engine.softwareVersion = version;
    engines[engine.id] = engine;
  }
  return engines;
}

QueuedPrompt MakeResumption(std::uint64_t aId, const SoftwareVersion& aVersion)
{
  QueuedPrompt resumed = MakePrompt(aId, 1000, 0, kStart, Milliseconds(400));
  resumed.request.version = aVersion;
  resumed.isResumption = true;
  return resumed;
}

struct Arrival
{
  Time at;
  std::uint32_t tokens = 0;
  std::uint8_t priority = 0;
  Duration target{ 0 };
};

// Short urgent prompts at a steady rate, and a burst of long ones that raises the load to twice the
// engines' prefill capacity.
std::vector<Arrival> BurstOfLongPrompts()
{
  std::vector<Arrival> load;
  for (int i = 0; i < 600; ++i) {
    const Time at = kStart + Milliseconds(10) * i;
    load.push_back({ at, 800, 0, Milliseconds(400) });
    if (i % 2 == 0 && i >= 100 && i < 400) {
      load.push_back({ at, 8000, 2, Milliseconds(800) });
    }
  }
  return load;
}

// Simulates a load on engines that prefill one prompt at a time, and counts by priority the prompts
// that are prefilled before their target. Without the queue, each prompt is sent immediately to
// the engine with the least work, which is the baseline.
std::map<int, int> Simulate(const std::vector<Arrival>& aLoad, int aEngines, bool aUsesQueue)
{
  Dispatcher dispatcher = MakeDispatcher(aEngines);
  PromptQueue queue(dispatcher);
  std::map<BackendServerName, Time> busyUntil;
  std::multimap<Time, std::pair<BackendServerName, RequestId>> ends;
  std::map<int, int> onTime;
  const auto start = [&](const PrefillPlacement& aPlacement, RequestId aId, Time aNow) {
    const Arrival& arrival = aLoad[aId.value];
    Time& busy = busyUntil[aPlacement.engine.id];
    busy = std::max(busy, aNow) + FromSeconds(arrival.tokens / kTokensPerSecond);
    ends.emplace(busy, std::make_pair(aPlacement.engine.id, aId));
    onTime[arrival.priority] += busy <= arrival.at + arrival.target ? 1 : 0;
  };
  std::size_t next = 0;
  for (Time now = kStart; now < kStart + Seconds(12); now += Milliseconds(2)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [engine, id] = ends.begin()->second;
      dispatcher.OnDone(engine, id, Outcome::Answered, now);
      ends.erase(ends.begin());
    }
    for (; next < aLoad.size() && aLoad[next].at <= now; ++next) {
      const Arrival& arrival = aLoad[next];
      QueuedPrompt prompt =
        MakePrompt(next, arrival.tokens, arrival.priority, arrival.at, arrival.target);
      if (aUsesQueue) {
        queue.Add(std::move(prompt), now);
        continue;
      }
      const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(prompt.request, now);
      dispatcher.OnSent(placement.engine.id, prompt.id, placement.prefillTime, 0, now);
      start(placement, prompt.id, now);
    }
    for (const ReleasedPrompt& released : queue.Release(now)) {
      if (released.placement) {
        start(*released.placement, released.id, now);
      }
    }
  }
  return onTime;
}

// Short and long prompts at random times, at a share of the engines' prefill capacity.
std::vector<Arrival> SteadyMix(int aEngines, double aUtilisation)
{
  constexpr double kMeanTokens = 0.8 * 1200 + 0.2 * 9000;
  const double meanInterval = kMeanTokens / (aUtilisation * aEngines * kTokensPerSecond);
  Random random(5);
  std::vector<Arrival> load;
  Time at = kStart;
  while (at < kStart + Seconds(10)) {
    at += FromSeconds(-meanInterval * std::log(1.0 - random.Uniform()));
    const bool isLong = random.Uniform() < 0.2;
    load.push_back({ at, isLong ? 9000U : 1200U, 0, Milliseconds(isLong ? 1000 : 400) });
  }
  return load;
}

// Simulates a load spread over daemons of several data centres, on engines that prefill one prompt
// at a time. Daemons of the same data centre report their work to each other. Returns the share of
// prompts that are prefilled before their target.
double SimulateDaemons(const std::vector<Arrival>& aLoad, int aEngines, std::size_t aDaemons,
                       std::size_t aDataCentres)
{
  constexpr Duration kReportInterval = Milliseconds(20);
  struct Daemon
  {
    explicit Daemon(int aEngines)
      : dispatcher(MakeDispatcher(aEngines))
      , queue(dispatcher)
    {
    }
    Dispatcher dispatcher;
    PromptQueue queue;
  };
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    daemons.push_back(std::make_unique<Daemon>(aEngines));
  }
  std::map<BackendServerName, Time> busyUntil;
  std::multimap<Time, std::pair<BackendServerName, RequestId>> ends;
  std::size_t next = 0;
  std::uint64_t sequence = 0;
  int onTime = 0;
  for (Time now = kStart; now < kStart + Seconds(14); now += Milliseconds(2)) {
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [engine, id] = ends.begin()->second;
      daemons[id.value % aDaemons]->dispatcher.OnDone(engine, id, Outcome::Answered, now);
      ends.erase(ends.begin());
    }
    if ((now - kStart) % kReportInterval == Duration::zero()) {
      ++sequence;
      for (std::size_t i = 0; i < aDaemons; ++i) {
        for (std::size_t k = 0; k < aDaemons; ++k) {
          if (i != k && i % aDataCentres == k % aDataCentres) {
            daemons[k]->dispatcher.OnPeerWork(HostName{ std::to_string(i) }, sequence,
                                              daemons[i]->dispatcher.LocalWork(now), now);
          }
        }
      }
    }
    for (; next < aLoad.size() && aLoad[next].at <= now; ++next) {
      const Arrival& arrival = aLoad[next];
      daemons[next % aDaemons]->queue.Add(
        MakePrompt(next, arrival.tokens, 0, arrival.at, arrival.target), now);
    }
    for (const std::unique_ptr<Daemon>& daemon : daemons) {
      for (const ReleasedPrompt& released : daemon->queue.Release(now)) {
        if (!released.placement) {
          continue;
        }
        const Arrival& arrival = aLoad[released.id.value];
        Time& busy = busyUntil[released.placement->engine.id];
        busy = std::max(busy, now) + FromSeconds(arrival.tokens / kTokensPerSecond);
        ends.emplace(busy, std::make_pair(released.placement->engine.id, released.id));
        onTime += busy <= arrival.at + arrival.target ? 1 : 0;
      }
    }
  }
  return onTime / static_cast<double>(aLoad.size());
}

} // namespace

MASTICSTEP_TEST("a prompt starts immediately while engines are free", "[dispatch][queue]")
{
  Dispatcher dispatcher = MakeDispatcher(2);
  PromptQueue queue(dispatcher);
  CHECK_FALSE(queue.Add(MakePrompt(1, 800, 0, kStart, Milliseconds(400)), kStart).has_value());
  const std::vector<ReleasedPrompt> released = queue.Release(kStart);
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_TRUE(released[0].placement.has_value());
  CHECK_TRUE(queue.IsEmpty());
}

MASTICSTEP_TEST("urgent prompts that can be on time precede less urgent and late ones",
                "[dispatch][queue]")
{
  Dispatcher dispatcher = MakeDispatcher(1);
  PromptQueue queue(dispatcher);
  dispatcher.OnSent(BackendServerName{ "e-0" }, RequestId{ 99 }, Milliseconds(600), 0, kStart);
  queue.Add(MakePrompt(1, 800, 2, kStart, Milliseconds(2000)), kStart);
  queue.Add(MakePrompt(2, 800, 0, kStart, Milliseconds(400)), kStart);
  queue.Add(MakePrompt(3, 800, 0, kStart, Milliseconds(1500)), kStart);
  CHECK_TRUE(queue.Release(kStart).empty());
  // Prompt 2 can no longer meet its target.
  const Time now = kStart + Milliseconds(600);
  dispatcher.OnDone(BackendServerName{ "e-0" }, RequestId{ 99 }, Outcome::Answered, now);
  const std::vector<ReleasedPrompt> released = queue.Release(now);
  CHECK_EQUAL(std::size_t{ 3 }, released.size() + queue.Size());
  CHECK_EQUAL(std::uint64_t{ 3 }, released[0].id.value);
  CHECK_EQUAL(std::uint64_t{ 1 }, released[1].id.value);
}

// Guards against queueing a request that cannot be served in time.
MASTICSTEP_TEST("a prompt that cannot start before its caller disconnects is refused immediately",
                "[dispatch][queue][overload]")
{
  Dispatcher dispatcher = MakeDispatcher(1);
  PromptQueue queue(dispatcher);
  dispatcher.OnSent(BackendServerName{ "e-0" }, RequestId{ 999 }, Seconds(1), 0, kStart);
  std::optional<ReleasedPrompt> refused;
  for (std::uint64_t i = 0; i < 100 && !refused; ++i) {
    refused = queue.Add(MakePrompt(i, 8000, 0, kStart, Milliseconds(800)), kStart);
  }
  CHECK_TRUE(refused.has_value());
  CHECK_FALSE(refused->placement.has_value());
  CHECK_TRUE(refused->retryAfter >= Seconds(1));
  CHECK_TRUE(queue.Size() < 30);
}

MASTICSTEP_TEST("without engines a prompt is refused immediately", "[dispatch][queue][failure]")
{
  Dispatcher dispatcher = MakeDispatcher(0);
  PromptQueue queue(dispatcher);
  CHECK_TRUE(queue.Add(MakePrompt(1, 800, 0, kStart, Milliseconds(400)), kStart).has_value());
  CHECK_TRUE(queue.IsEmpty());
}

MASTICSTEP_TEST("a prompt whose caller disconnected occupies no engine", "[dispatch][queue]")
{
  Dispatcher dispatcher = MakeDispatcher(1);
  PromptQueue queue(dispatcher);
  queue.Add(MakePrompt(1, 800, 0, kStart, Milliseconds(400)), kStart);
  queue.Remove(RequestId{ 1 });
  CHECK_TRUE(queue.Release(kStart).empty());
}

// Guards against urgent prompts that miss their target during a burst of long prompts at twice the
// prefill capacity. More of the long prompts must be on time, too, than when all of them queue at
// the engines.
MASTICSTEP_TEST("a burst of long prompts does not delay short urgent ones",
                "[dispatch][queue][replay]")
{
  const std::vector<Arrival> load = BurstOfLongPrompts();
  const std::map<int, int> baseline = Simulate(load, 4, false);
  const std::map<int, int> withQueue = Simulate(load, 4, true);
  CHECK_TRUE(withQueue.at(0) >= 594);
  CHECK_TRUE(withQueue.at(0) > baseline.at(0));
  CHECK_TRUE(withQueue.at(2) > baseline.at(2));
}

// A steady mix through the daemons of three data centres. Guards against a daemon that assumes its
// prompts are prefilled while they are queued behind those of other daemons: each daemon then sends
// more work to engines that are already behind.
MASTICSTEP_TEST("daemons that share engines keep a steady mix on time", "[dispatch][queue][replay]")
{
  constexpr double kOnTime = 0.95;     // the project's target for first tokens on time
  constexpr double kUtilisation = 0.8; // of the engines' prefill capacity
  const double onTime = SimulateDaemons(SteadyMix(14, kUtilisation), 14, 12, 3);
  CHECK_TRUE(onTime >= kOnTime);
}

// Guards against a begun stream that waits behind all new prompts, since its target is past, until
// its caller leaves.
MASTICSTEP_TEST("a resumed stream is placed before prompts that arrive later",
                "[dispatch][queue][resume]")
{
  constexpr std::uint64_t kResumed = 1000;
  constexpr Duration kPrefillTime = Milliseconds(20);
  constexpr std::uint32_t kTokens = 1280; // for that time
  Dispatcher dispatcher = MakeDispatcher(1);
  PromptQueue queue(dispatcher);
  std::optional<Time> resumedAt;
  std::vector<RequestId> running;
  const Time arrival = kStart + Milliseconds(100);
  // New prompts of higher priority keep the engine busy twice over.
  for (std::uint64_t i = 0; i < 300 && !resumedAt; ++i) {
    const Time now = kStart + kPrefillTime / 2 * static_cast<std::int64_t>(i);
    queue.Add(MakePrompt(i, kTokens, 0, now, Milliseconds(400)), now);
    if (now == arrival) {
      QueuedPrompt resumed = MakePrompt(kResumed, kTokens, 2, now, Milliseconds(400));
      resumed.target = now - Milliseconds(600);
      resumed.callerDeadline = now + Milliseconds(1700);
      resumed.isResumption = true;
      CHECK_FALSE(queue.Add(std::move(resumed), now).has_value());
    }
    if (i % 2 == 0 && !running.empty()) {
      dispatcher.OnDone(BackendServerName{ "e-0" }, running.front(), Outcome::Answered, now);
      running.erase(running.begin());
    }
    for (const ReleasedPrompt& released : queue.Release(now)) {
      if (released.placement) {
        running.push_back(released.id);
        resumedAt = released.id.value == kResumed ? std::optional<Time>(now) : resumedAt;
      }
    }
  }
  CHECK_TRUE(resumedAt.has_value());
  CHECK_TRUE(*resumedAt <= arrival + 3 * kPrefillTime);
}

// Guards against a begun stream that waits for a busy prefill engine while engines that could read
// its prompt more slowly have nothing to do.
MASTICSTEP_TEST("a resumed stream takes a free decode engine while prefill engines are busy",
                "[dispatch][queue][resume]")
{
  Dispatcher dispatcher = MakeDispatcher(1);
  std::map<BackendServerName, Backend> engines;
  for (const Stage stage : { Stage::Prefill, Stage::Decode }) {
    Backend engine;
    engine.id = BackendServerName{ stage == Stage::Prefill ? "p" : "d" };
    engine.service = kService;
    engine.slots = 8;
    engine.stage = stage;
    engines[engine.id] = engine;
  }
  dispatcher.SetBackends(engines);
  PromptQueue queue(dispatcher);
  dispatcher.OnSent(BackendServerName{ "p" }, RequestId{ 99 }, Milliseconds(500), 0, kStart);
  QueuedPrompt fresh = MakePrompt(1, 1000, 0, kStart, Milliseconds(400));
  QueuedPrompt resumed = MakePrompt(2, 1000, 0, kStart, Milliseconds(400));
  resumed.isResumption = true;
  CHECK_FALSE(queue.Add(std::move(fresh), kStart).has_value());
  CHECK_FALSE(queue.Add(std::move(resumed), kStart).has_value());
  const std::vector<ReleasedPrompt> released = queue.Release(kStart);
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_EQUAL(std::uint64_t{ 2 }, released[0].id.value);
  CHECK_TRUE(released[0].placement && released[0].placement->engine.stage == Stage::Decode);
}

// Guards against refusing prompts that engines for decoding could read, while all others are gone.
MASTICSTEP_TEST("a prompt is placed on a decode engine while no engine is for prefill",
                "[dispatch][queue]")
{
  Dispatcher dispatcher = MakeDispatcher(0);
  Backend engine;
  engine.id = BackendServerName{ "d" };
  engine.service = kService;
  engine.slots = 8;
  engine.stage = Stage::Decode;
  dispatcher.SetBackends({ { engine.id, engine } });
  PromptQueue queue(dispatcher);
  CHECK_FALSE(queue.Add(MakePrompt(1, 1000, 0, kStart, Milliseconds(400)), kStart).has_value());
  const std::vector<ReleasedPrompt> released = queue.Release(kStart);
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_TRUE(released[0].placement.has_value());
}

// Guards against begun streams that are refused in the seconds in which an engine of their version
// changes stage to write them.
MASTICSTEP_TEST("a resumed stream waits while an engine of its version becomes a writer",
                "[dispatch][queue][resume]")
{
  Dispatcher dispatcher = MakeDispatcher(0);
  dispatcher.SetBackends(MakeTwoVersions(Stage::Prefill));
  PromptQueue queue(dispatcher);
  CHECK_FALSE(queue.Add(MakeResumption(1, kOldVersion), kStart).has_value());
  CHECK_TRUE(queue.Release(kStart + Milliseconds(1500)).empty());
  dispatcher.SetBackends(MakeTwoVersions(Stage::Decode));
  const std::vector<ReleasedPrompt> released = queue.Release(kStart + Milliseconds(1510));
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_TRUE(released[0].placement && released[0].placement->engine.softwareVersion == kOldVersion);
}

// Guards against begun streams that are refused since the only engine that can write them refused
// them once, was busy with a change of stage or full; or since the last writer crashed.
MASTICSTEP_TEST("a resumed stream waits for an engine of its version that may write it soon",
                "[dispatch][queue][resume][failure]")
{
  constexpr Duration kPause = Milliseconds(300);
  Dispatcher dispatcher = MakeDispatcher(0);
  dispatcher.SetBackends(MakeTwoVersions(Stage::Decode));
  PromptQueue queue(dispatcher);
  QueuedPrompt refused = MakeResumption(1, kOldVersion);
  refused.request.refusedUntil[BackendServerName{ kOldVersion.Text() }] = kStart + kPause;
  CHECK_FALSE(queue.Add(std::move(refused), kStart).has_value());
  CHECK_TRUE(queue.Release(kStart).empty());
  std::vector<ReleasedPrompt> released = queue.Release(kStart + kPause);
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_TRUE(released[0].placement && released[0].placement->engine.softwareVersion == kOldVersion);

  std::map<BackendServerName, Backend> engines = MakeTwoVersions(Stage::Decode);
  Backend reader = engines.at(BackendServerName{ kOldVersion.Text() });
  reader.id = BackendServerName{ "reader" };
  reader.stage = Stage::Prefill;
  engines[reader.id] = reader;
  dispatcher.SetBackends(engines);
  QueuedPrompt crashed = MakeResumption(2, kOldVersion);
  crashed.request.excluded = { BackendServerName{ kOldVersion.Text() } };
  CHECK_FALSE(queue.Add(std::move(crashed), kStart).has_value());
  CHECK_TRUE(queue.Release(kStart).empty());
  CHECK_EQUAL(std::size_t{ 1 }, queue.Size());
}

// Guards against a caller that leaves without having heard that its stream was not resumed.
MASTICSTEP_TEST("a resumed stream that finds no writer in time is refused before its caller leaves",
                "[dispatch][queue][resume][failure]")
{
  Dispatcher dispatcher = MakeDispatcher(0);
  dispatcher.SetBackends(MakeTwoVersions(Stage::Prefill));
  PromptQueue queue(dispatcher);
  const QueuedPrompt resumed = MakeResumption(1, kOldVersion);
  CHECK_FALSE(queue.Add(resumed, kStart).has_value());
  const std::vector<ReleasedPrompt> released = queue.Release(resumed.callerDeadline);
  CHECK_EQUAL(std::size_t{ 1 }, released.size());
  CHECK_FALSE(released[0].placement.has_value());
}

// Guards against holding a stream that is known to have no engine, and new prompts of which the
// caller has no event yet.
MASTICSTEP_TEST("a prompt that no stage change can help is refused immediately",
                "[dispatch][queue][failure]")
{
  Dispatcher dispatcher = MakeDispatcher(0);
  dispatcher.SetBackends(MakeTwoVersions(Stage::Prefill));
  PromptQueue queue(dispatcher);
  CHECK_TRUE(queue.Add(MakeResumption(1, SoftwareVersion{ "gone" }), kStart).has_value());
  QueuedPrompt fresh = MakeResumption(2, kOldVersion);
  fresh.isResumption = false;
  CHECK_FALSE(queue.Add(std::move(fresh), kStart).has_value());
  QueuedPrompt refusedByWriter = MakeResumption(3, kNewVersion);
  refusedByWriter.request.excluded = { BackendServerName{ kNewVersion.Text() } };
  CHECK_FALSE(queue.Add(std::move(refusedByWriter), kStart).has_value());
  const std::vector<ReleasedPrompt> released = queue.Release(kStart);
  CHECK_EQUAL(std::size_t{ 2 }, released.size());
  CHECK_FALSE(released[0].placement.has_value());
  CHECK_FALSE(released[1].placement.has_value());
}

// Guards against prompts that are read for nothing: the only version in service has no engine that
// could write the answer.
MASTICSTEP_TEST("a resumed stream is not read again while no engine of the service writes",
                "[dispatch][queue][resume]")
{
  std::map<BackendServerName, Backend> engines = MakeTwoVersions(Stage::Prefill);
  engines.erase(BackendServerName{ kNewVersion.Text() });
  Dispatcher dispatcher = MakeDispatcher(0);
  dispatcher.SetBackends(engines);
  PromptQueue queue(dispatcher);
  CHECK_FALSE(queue.Add(MakeResumption(1, kOldVersion), kStart).has_value());
  CHECK_TRUE(queue.Release(kStart).empty());
  CHECK_EQUAL(std::size_t{ 1 }, queue.Size());
}
