#include "masticstep/dispatch/RetryBudget.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "s" };

} // namespace

MASTICSTEP_TEST("repeats without requests are bounded by a small part of the slack",
                "[dispatch][retry]")
{
  RetryBudget budget(RetryBounds{ 0.2, 64.0, Seconds(10) });
  const Time now{ Seconds(50) };
  CHECK_TRUE(budget.TryTake(kService, now));
  CHECK_FALSE(budget.TryTake(kService, now));
}

MASTICSTEP_TEST("a budget recovers when the window has passed", "[dispatch][retry]")
{
  RetryBudget budget(RetryBounds{ 0.2, 0.0, Seconds(10) });
  const Time now{ Seconds(50) };
  CHECK_TRUE(budget.TryTake(kService, now));
  CHECK_FALSE(budget.TryTake(kService, now + Seconds(9)));
  CHECK_TRUE(budget.TryTake(kService, now + Seconds(11)));
}

// Guards against retry storms: whatever the arrivals, repeats within a window stay below the bound
// that all daemons share.
MASTICSTEP_TEST("repeats of a window never exceed the bound", "[dispatch][retry][property]")
{
  testing::CheckProperty("repeats stay in the budget", [](const std::vector<bool>& aIsRepeat) {
    const RetryBounds bounds{ 0.2, 54.0, Seconds(10) };
    RetryBudget budget(bounds);
    Time now{ Seconds(50) };
    double requests = 0.0;
    double repeats = 0.0;
    for (const bool isRepeat : aIsRepeat) {
      now += Milliseconds(20);
      if (!isRepeat) {
        budget.OnRequest(kService, now);
        requests += 1.0;
      } else if (budget.TryTake(kService, now)) {
        repeats += 1.0;
      }
    }
    const bool isWithin = repeats <= bounds.ratio * requests + bounds.slack;
    RC_ASSERT(isWithin);
  });
}
