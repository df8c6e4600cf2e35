#include "masticstep/dispatch/EnginePace.hpp"

#include "masticstep/dispatch/Dispatcher.hpp"
#include "masticstep/testing/Test.hpp"

#include <array>
#include <map>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

constexpr std::array<double, 3> kPaces{ 0.7, 0.7, 1.7 };

Backend MakeEngine(std::size_t aNumber)
{
  Backend engine;
  engine.id = BackendServerName{ "e" + std::to_string(aNumber) };
  engine.service = ServiceName{ "llm" };
  engine.slots = 64;
  return engine;
}

// Sends prompts at even intervals to three engines of unequal speed and returns the longest queue.
// The engines say how fast they are if aTells.
double LongestQueue(bool aTells)
{
  Dispatcher dispatcher(Locality{}, 7);
  RouteTable::Parts parts;
  parts.services.push_back({ ServiceName{ "llm" }, 0, EngineTraits{ 64, 1000000 }, std::nullopt });
  dispatcher.SetTable(*RouteTable::Create(std::move(parts)));
  std::map<BackendServerName, Backend> engines;
  for (std::size_t i = 0; i < kPaces.size(); ++i) {
    engines[MakeEngine(i).id] = MakeEngine(i);
  }
  dispatcher.SetBackends(engines);
  constexpr double kSecondsPerToken = 1.0 / 64000.0;
  constexpr double kInterval = 0.012;
  std::map<BackendServerName, double> freeAt;
  std::map<BackendServerName, double> pace;
  for (std::size_t i = 0; i < kPaces.size(); ++i) {
    pace[MakeEngine(i).id] = kPaces[i];
  }
  struct Running
  {
    BackendServerName engine;
    RequestId id;
    double end;
  };
  std::vector<Running> running;
  double longest = 0.0;
  for (std::uint64_t i = 1; i <= 2000; ++i) {
    const double now = kInterval * static_cast<double>(i);
    std::erase_if(running, [&](const Running& aItem) {
      if (aItem.end <= now) {
        dispatcher.OnDone(aItem.engine, aItem.id, Outcome::Answered, At(now));
        if (aTells) {
          dispatcher.OnSample(aItem.engine, { 0, 0, 64, pace[aItem.engine] }, At(now));
        }
      }
      return aItem.end <= now;
    });
    PromptRequest request;
    request.service = ServiceName{ "llm" };
    request.prompt = { "m", 1800, 10, { { i, 1800 } } };
    request.keys = PrefixKeys(request.prompt);
    const PrefillPlacement placement = *dispatcher.ChoosePrefillEngine(request, At(now));
    const BackendServerName& engine = placement.engine.id;
    dispatcher.OnSent(engine, RequestId{ i }, placement.prefillTime, 0, At(now));
    const double begin = std::max(freeAt[engine], now);
    freeAt[engine] = begin + 1800.0 * kSecondsPerToken * pace[engine];
    running.push_back({ engine, RequestId{ i }, freeAt[engine] });
    if (i > 500) {
      longest = std::max(longest, begin - now);
    }
  }
  return longest;
}

} // namespace

MASTICSTEP_TEST("a slow moment counts while it may last, the average after it", "[dispatch][pace]")
{
  EnginePace pace;
  CHECK_EQUAL(1.0, pace.FactorAt(At(0.0)));
  for (int i = 0; i < 200; ++i) {
    pace.OnFigure(0.7, At(0.1 * i));
  }
  pace.OnFigure(2.5, At(20.0));
  CHECK_TRUE(pace.FactorAt(At(20.0)) > 2.4);
  CHECK_TRUE(pace.FactorAt(At(20.3)) > 1.4);
  CHECK_TRUE(pace.FactorAt(At(22.0)) < 1.1);
}

MASTICSTEP_TEST("figures that are not plausible are clamped", "[dispatch][pace]")
{
  EnginePace pace;
  pace.OnFigure(1e9, At(0.0));
  CHECK_EQUAL(8.0, pace.FactorAt(At(0.0)));
  pace.OnFigure(-3.0, At(1.0));
  CHECK_EQUAL(0.25, pace.FactorAt(At(1.0)));
}

// Load: prompts for three engines at nine tenths of what they can do, one of which takes 1.7 times
// as long as usual. Guards against a slow engine at which work piles up.
MASTICSTEP_TEST("work goes to engines by their pace", "[dispatch][pace]")
{
  const double untold = LongestQueue(false);
  const double told = LongestQueue(true);
  CPPUNIT_ASSERT_MESSAGE("told " + std::to_string(told) + " s, untold " + std::to_string(untold),
                         told < 0.8 * untold);
}
