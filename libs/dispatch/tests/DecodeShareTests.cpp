#include "masticstep/dispatch/DecodeShare.hpp"
#include "masticstep/dispatch/StageDemand.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "s" };
constexpr Time kStart{ Seconds(100) };

EngineTraits MakeTraits(std::uint32_t aSlots)
{
  EngineTraits traits;
  traits.slots = aSlots;
  traits.kvTokens = 440000;
  traits.kvBytesPerToken = 160000.0;
  traits.linkMegabitsPerSecond = 1e6;
  return traits;
}

} // namespace

MASTICSTEP_TEST("fewer slots require a larger share of engines for decoding", "[dispatch][stages]")
{
  CHECK_TRUE(InitialDecodeShare(12) > InitialDecodeShare(48));
  CHECK_TRUE(InitialDecodeShare(48) > InitialDecodeShare(64));
}

// The mix alternates between long prompts and long answers every few seconds. A change of stage
// takes as long as such a swing, so the share must not follow it.
MASTICSTEP_TEST("the share does not follow a swing of a few seconds", "[dispatch][stages][replay]")
{
  StageDemand demand;
  DecodeShareController share(0.4);
  Time now = kStart;
  for (int i = 0; i < 600; ++i) {
    now += Milliseconds(100);
    const bool hasLongPrompts = (i / 28) % 2 == 0;
    const std::uint32_t output = hasLongPrompts ? 80 : 160;
    demand.OnDecoded(kService, Milliseconds(10) * output, output, now);
    demand.OnStart(kService, { Milliseconds(hasLongPrompts ? 60 : 30), 1000, output },
                   MakeTraits(48), now);
    const double followed = share.Update(demand.DecodeShare(kService, now), now);
    CHECK_TRUE(followed == 0.4);
  }
}

MASTICSTEP_TEST("the share follows a lasting change of the mix", "[dispatch][stages][replay]")
{
  StageDemand demand;
  DecodeShareController share(0.25);
  Time now = kStart;
  double followed = 0.25;
  for (int i = 0; i < 600; ++i) {
    now += Milliseconds(100);
    demand.OnDecoded(kService, Milliseconds(2000), 200, now);
    demand.OnStart(kService, { Milliseconds(20), 1000, 200 }, MakeTraits(48), now);
    followed = share.Update(demand.DecodeShare(kService, now), now);
  }
  CHECK_TRUE(followed >= 0.6);
}

// A mix with short answers for some seconds. Guards against giving away decode engines that the
// next burst of long answers needs: on a few engines, one less per data centre doubles the load of
// the others.
MASTICSTEP_TEST("decode engines are given away more reluctantly than added",
                "[dispatch][stages][replay]")
{
  constexpr double kDeviation = 0.17;
  for (const double start : { 0.35, 0.45 }) {
    DecodeShareController shrinking(start);
    DecodeShareController growing(start);
    for (Time now = kStart; now < kStart + Seconds(20); now += Milliseconds(500)) {
      shrinking.Update(start - kDeviation, now);
      growing.Update(start + kDeviation, now);
    }
    const Time end = kStart + Seconds(20);
    CHECK_EQUAL(start, shrinking.Update(start - kDeviation, end));
    CHECK_EQUAL(start + kDeviation, growing.Update(start + kDeviation, end));
  }
}
