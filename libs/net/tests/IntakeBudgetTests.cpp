#include "masticstep/net/IntakeBudget.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

#include <map>

using namespace masticstep;
using namespace masticstep::net;

namespace {

constexpr std::size_t kGranted = IntakeBudget::kGrantedBytes;
constexpr std::size_t kBound = 100000;

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

} // namespace

// Load: callers that send most of a large body each and then stay. Guards against a caller with an
// ordinary request that is refused because of them.
MASTICSTEP_TEST("the largest unfinished request is ended for one that needs its room",
                "[net][intake]")
{
  IntakeBudget budget(kBound);
  std::vector<IntakeId> ended;
  budget.SetOnEnd([&](IntakeId aId) { ended.push_back(aId); });
  CHECK_TRUE(budget.TryResize(1, 50000 + kGranted, At(0.0)));
  CHECK_TRUE(budget.TryResize(2, 40000 + kGranted, At(0.0)));
  CHECK_FALSE(budget.TryResize(3, 20000 + kGranted, At(0.5))); // all have just begun to arrive
  CHECK_TRUE(ended.empty());
  CHECK_TRUE(budget.TryResize(3, 20000 + kGranted, At(1.5)));
  CHECK_TRUE(ended == std::vector<IntakeId>{ 1 });
  CHECK_FALSE(budget.TryResize(4, 90000 + kGranted, At(3.0))); // none is larger
  CHECK_EQUAL(std::size_t{ 1 }, ended.size());
}

MASTICSTEP_TEST("small requests are always allowed and whole ones are never ended", "[net][intake]")
{
  IntakeBudget budget(kBound);
  std::size_t ended = 0;
  budget.SetOnEnd([&](IntakeId) { ++ended; });
  CHECK_TRUE(budget.TryResize(1, kBound + kGranted, At(0.0)));
  budget.SetWhole(1);
  for (IntakeId id = 2; id < 1000; ++id) {
    CHECK_TRUE(budget.TryResize(id, kGranted, At(5.0)));
  }
  CHECK_FALSE(budget.TryResize(2, kGranted + 1, At(5.0)));
  CHECK_EQUAL(std::size_t{ 0 }, ended);
  budget.Release(1);
  CHECK_TRUE(budget.TryResize(2, kGranted + 1, At(5.0)));
}

MASTICSTEP_TEST("requests never keep more than the bound beyond what each is granted",
                "[net][intake]")
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    IntakeBudget budget(kBound);
    std::map<IntakeId, std::size_t> kept;
    budget.SetOnEnd([&](IntakeId aId) { kept.erase(aId); });
    for (int step = 0; step < 2000; ++step) {
      const Time now = At(0.05 * step);
      const IntakeId id = 1 + random.Below(40);
      const std::size_t bytes = random.Below(60000);
      if (random.Chance(0.2)) {
        budget.Release(id);
        kept.erase(id);
      } else if (budget.TryResize(id, bytes, now)) {
        kept[id] = bytes;
      }
      if (random.Chance(0.1)) {
        budget.SetWhole(id);
      }
      std::size_t beyond = 0;
      for (const auto& [key, size] : kept) {
        beyond += size > kGranted ? size - kGranted : 0;
      }
      CHECK_TRUE(budget.InUse() <= kBound && beyond <= kBound);
    }
    for (IntakeId id = 1; id <= 40; ++id) {
      budget.Release(id);
    }
    CHECK_EQUAL(std::size_t{ 0 }, budget.InUse());
  }
}
