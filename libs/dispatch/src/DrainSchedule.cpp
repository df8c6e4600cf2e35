#include "masticstep/dispatch/DrainSchedule.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

// The load balancer probes readiness once a second and stops sending requests after two failed
// probes.
constexpr Duration kBalancerDetectionTime = Milliseconds(2500);
// The process exits this long before the platform kills it.
constexpr Duration kGraceReserve = Milliseconds(300);
// For writing the final answers.
constexpr Duration kFinalAnswerTime = Milliseconds(300);
// Together, the reserve and the final answers take at most a sixth of the grace: the platform holds
// the daemon responsible for requests that end before the last sixth.
constexpr std::int64_t kGraceReserveDivisor = 8;
constexpr std::int64_t kFinalAnswerDivisor = 24;

} // namespace

DrainSchedule DrainSchedule::Create(Time aBegin, Duration aGrace)
{
  DrainSchedule schedule;
  const Duration reserve = std::min(kGraceReserve, aGrace / kGraceReserveDivisor);
  const Duration answers = std::min(kFinalAnswerTime, aGrace / kFinalAnswerDivisor);
  schedule.mListenerEnd = aBegin + std::min(kBalancerDetectionTime, aGrace / 2);
  schedule.mExit = aBegin + aGrace - reserve;
  schedule.mFinalAnswers = schedule.mExit - answers;
  return schedule;
}

bool DrainSchedule::MayBegin(Time aNow, Time aDeadline) const
{
  return aNow < mListenerEnd || aDeadline <= mFinalAnswers;
}

} // namespace masticstep::dispatch
