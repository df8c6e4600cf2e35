#include "masticstep/dispatch/DrainSchedule.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

constexpr Time kBegin{ Seconds(100) };

} // namespace

// Guards against requests that are passed on although the daemon may exit before they end.
MASTICSTEP_TEST("a request begins before the listener closes or if it ends before the daemon",
                "[dispatch][drain]")
{
  const DrainSchedule schedule = DrainSchedule::Create(kBegin, Seconds(8));
  const Time closed = kBegin + Milliseconds(2500);
  const Time answers = kBegin + Milliseconds(7400);
  CHECK_TRUE(schedule.ListenerEnd() == closed);
  CHECK_TRUE(schedule.FinalAnswers() == answers);
  CHECK_TRUE(schedule.Exit() == kBegin + Milliseconds(7700));
  CHECK_TRUE(schedule.MayBegin(closed - Milliseconds(1), kBegin + Seconds(60)));
  CHECK_FALSE(schedule.MayBegin(closed, answers + Milliseconds(1)));
  CHECK_TRUE(schedule.MayBegin(closed, answers));
}

// Guards against final answers that are written after the process has been killed, and against a
// daemon that ends requests early when its grace is short.
MASTICSTEP_TEST("the phases of a planned stop follow each other within any grace",
                "[dispatch][drain]")
{
  for (const Duration grace :
       { Duration::zero(), Milliseconds(1), Milliseconds(500), Seconds(2), Seconds(3600) }) {
    const DrainSchedule schedule = DrainSchedule::Create(kBegin, grace);
    CHECK_TRUE(kBegin <= schedule.ListenerEnd());
    CHECK_TRUE(schedule.ListenerEnd() <= schedule.FinalAnswers());
    CHECK_TRUE(schedule.FinalAnswers() <= schedule.Exit());
    CHECK_TRUE(schedule.Exit() <= kBegin + grace);
    CHECK_TRUE(schedule.FinalAnswers() >= kBegin + grace * 5 / 6);
  }
}
