#include "masticstep/retry/RetryPolicy.hpp"
#include "masticstep/testing/Test.hpp"

#include <vector>

using namespace masticstep;
using namespace masticstep::retry;

namespace {

constexpr Time kDeadline{ Seconds(30) };

Attempt FailedAttempt(Progress aProgress)
{
  Attempt attempt;
  attempt.id = RequestId{ 1 };
  attempt.service = ServiceName("drafting");
  attempt.progress = aProgress;
  attempt.deadline = kDeadline;
  return attempt;
}

} // namespace

// Guards against continuing a caller's stream with the output of a second run.
MASTICSTEP_TEST("a broken stream resumes at its offset and is never run again", "[retry][resume]")
{
  RetryPolicy policy(RetryOptions{});
  Attempt attempt = FailedAttempt(Progress::Started);
  attempt.isRepeatable = true;
  attempt.isResumable = true;
  attempt.tokensRelayed = 17;
  const RetryDecision first = policy.Decide(attempt, Time{});
  CHECK_TRUE(first.kind == RetryKind::Resume);
  CHECK_EQUAL(17U, first.offset);
  attempt.resumes = 2;
  const RetryDecision last = policy.Decide(attempt, Time{});
  CHECK_TRUE(last.kind == RetryKind::GiveUp);
  CHECK_TRUE(last.run == RunState::Unknown);
}

// Guards against running a call of a plain service twice (invariant I6).
MASTICSTEP_TEST("a call that may have run is retried only if repeatable", "[retry][once]")
{
  RetryPolicy policy(RetryOptions{});
  CHECK_TRUE(policy.Decide(FailedAttempt(Progress::Unknown), Time{}).kind == RetryKind::GiveUp);
  CHECK_TRUE(policy.Decide(FailedAttempt(Progress::NotSent), Time{}).kind == RetryKind::Retry);
  Attempt later = FailedAttempt(Progress::NotSent);
  later.mayHaveRunBefore = true;
  CHECK_TRUE(policy.Decide(later, Time{}).kind == RetryKind::GiveUp);
  later.isRepeatable = true;
  CHECK_TRUE(policy.Decide(later, Time{}).kind == RetryKind::Retry);
}

// Guards against an attempt that cannot finish before the caller's deadline.
MASTICSTEP_TEST("a retry that would end after the deadline is not made", "[retry][deadline]")
{
  RetryPolicy policy(RetryOptions{});
  Attempt attempt = FailedAttempt(Progress::NotSent);
  attempt.minimumDuration = Seconds(31);
  const RetryDecision decision = policy.Decide(attempt, Time{});
  CHECK_TRUE(decision.reason == GiveUpReason::Deadline);
  CHECK_TRUE(decision.run == RunState::NotRun);
  CHECK_EQUAL(20.0, policy.Budget(ServiceName("drafting")));
}

// Guards invariant I5, the runs of non-repeatable calls and the retry budget over random sequences
// of attempts.
MASTICSTEP_TEST("no history exceeds the budget or calls a sent request not run",
                "[retry][property]")
{
  masticstep::testing::CheckProperty("retry histories", [] {
    RetryOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    RetryPolicy policy(options);
    double first = 0.0;
    double retries = 0.0;
    const std::vector<std::uint8_t> steps =
      *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
    Attempt attempt = FailedAttempt(Progress::NotSent);
    bool mayHaveRun = false;
    for (const std::uint8_t step : steps) {
      if (attempt.retries == 0 && attempt.resumes == 0) {
        policy.OnFirstAttempt(attempt.service);
        first += 1.0;
        attempt.isRepeatable = (step & 1U) != 0;
        attempt.isResumable = (step & 2U) != 0;
      }
      attempt.progress = static_cast<Progress>((step >> 2U) & 3U);
      mayHaveRun = mayHaveRun || attempt.progress == Progress::Unknown ||
                   attempt.progress == Progress::Started;
      const RetryDecision decision =
        policy.Decide(attempt, Time{} + Seconds((step & 128U) != 0 ? 31 : 0));
      RC_ASSERT(decision.deadline == kDeadline);
      attempt.mayHaveRunBefore = decision.mayHaveRun;
      if (decision.kind == RetryKind::Retry) {
        RC_ASSERT(attempt.isRepeatable || !mayHaveRun);
        retries += 1.0;
        ++attempt.retries;
        attempt.resumes = 0;
      } else if (decision.kind == RetryKind::Resume) {
        ++attempt.resumes;
      } else {
        RC_ASSERT((decision.run == RunState::NotRun) == !mayHaveRun);
        attempt = FailedAttempt(Progress::NotSent);
        mayHaveRun = false;
      }
      RC_ASSERT(retries <= options.maximumBudget + options.budgetRatio * first + 1e-6);
    }
  });
}
