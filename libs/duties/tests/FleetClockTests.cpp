#include "masticstep/duties/FleetClock.hpp"

#include "masticstep/duties/UsageWindows.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::duties;

namespace {

constexpr Duration kOffset = Seconds(1700000000); // from monotonic time to time of day

UnixTime TrueTime(Time aNow)
{
  return UnixTime(aNow.time_since_epoch() + kOffset);
}

HostName Host(int aNumber)
{
  return HostName{ "h" + std::to_string(aNumber) };
}

} // namespace

// Guards against requests that are counted in the wrong window because a clock has jumped.
MASTICSTEP_TEST("clocks that jump on a minority of hosts do not move the time", "[duties][clock]")
{
  const Time now{ Seconds(100) };
  for (const Duration jump : { Seconds(-3), Seconds(5) }) {
    FleetClock clock;
    clock.OnOwnReading(TrueTime(now) + jump, now);
    for (int i = 0; i < 6; ++i) {
      clock.OnPeerReading(Host(i), TrueTime(now) + (i < 2 ? jump : Milliseconds(i)), now);
    }
    const Duration error = clock.At(now) - TrueTime(now);
    CHECK_TRUE(error >= Milliseconds(0) && error <= Milliseconds(6));
  }
}

MASTICSTEP_TEST("the readings of peers that have ended expire", "[duties][clock]")
{
  const Time now{ Seconds(100) };
  FleetClock clock;
  clock.OnOwnReading(TrueTime(now), now);
  clock.OnPeerReading(Host(1), TrueTime(now) + Seconds(3), now);
  clock.OnPeerReading(Host(2), TrueTime(now) + Seconds(3), now);
  CHECK_TRUE(clock.At(now) == TrueTime(now) + Seconds(3));
  const Time later = now + Seconds(11);
  CHECK_TRUE(clock.At(later) == TrueTime(later));
}

MASTICSTEP_TEST("windows are counted from 1970", "[duties][clock]")
{
  const UsageWindows windows(Seconds(5));
  CHECK_EQUAL(0, windows.At(UnixTime(Milliseconds(4999))));
  CHECK_EQUAL(1, windows.At(UnixTime(Seconds(5))));
  CHECK_TRUE(windows.EndOf(1) == UnixTime(Seconds(10)));
}
