#include "WatchBackoff.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <array>

using namespace masticstep;
using namespace masticstep::gateway;

// Guards against polling the platform at a constant rate throughout an outage, and against
// detecting the end of the outage too late.
MASTICSTEP_TEST("pauses after watch errors grow up to 2 s and reset on success",
                "[gateway][backoff]")
{
  const std::array<Duration, 5> bounds = { Milliseconds(500), Seconds(1), Seconds(2), Seconds(2),
                                           Seconds(2) };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    WatchBackoff backoff(seed);
    for (int round = 0; round < 2; ++round) {
      for (const Duration bound : bounds) {
        const Duration pause = backoff.NextPause();
        CHECK_TRUE(pause >= bound / 2);
        CHECK_TRUE(pause <= bound);
      }
      backoff.OnSuccess();
    }
  }
}

// Guards against daemons that call the platform simultaneously after an outage.
MASTICSTEP_TEST("pauses differ between daemons", "[gateway][backoff]")
{
  constexpr std::size_t kDaemons = 370; // design section 1.5
  std::array<std::size_t, 10> slots{};
  for (std::uint64_t seed = 1; seed <= kDaemons; ++seed) {
    WatchBackoff backoff(seed);
    backoff.NextPause();
    backoff.NextPause();
    const Duration pause = backoff.NextPause() - Seconds(1);
    const std::size_t slot = static_cast<std::size_t>(pause / Milliseconds(100));
    ++slots.at(std::min<std::size_t>(slot, slots.size() - 1));
  }
  // With an even distribution, a slot of 100 ms has 37 daemons.
  CHECK_TRUE(*std::max_element(slots.begin(), slots.end()) <= 2 * kDaemons / slots.size());
}
