#include "masticstep/admission/AdmissionQueue.hpp"
#include "masticstep/testing/Test.hpp"

#include <map>
#include <set>

using namespace masticstep;
using namespace masticstep::admission;

namespace {

const ServiceName kService("drafting");

Time At(std::int64_t aMilliseconds)
{
  return Time{ Milliseconds(aMilliseconds) };
}

AdmissionOptions MakeOptions(std::size_t aLimit)
{
  AdmissionOptions options;
  options.classes.push_back({ kService, ClassName("counter"), 10, aLimit });
  options.classes.push_back({ kService, ClassName("check"), 0, aLimit });
  return options;
}

AdmissionRequest MakeRequest(std::uint64_t aId, const std::string& aAccount, std::uint32_t aTokens,
                             const std::string& aClass = "counter")
{
  return { RequestId{ aId }, kService, ClassName(aClass), AccountName(aAccount),
           aTokens,          Time{},   At(30000),         Milliseconds(100) };
}

} // namespace

// Guards against starting a request whose answer would arrive too late to be used.
MASTICSTEP_TEST("a request whose deadline cannot be met is refused at once",
                "[admission][deadline]")
{
  AdmissionQueue queue(MakeOptions(64));
  const AdmissionDecision late = queue.Offer(MakeRequest(1, "a", 10), At(29950));
  CHECK_TRUE(late.kind == AdmissionKind::Refused);
  CHECK_TRUE(late.refusal.reason == RefusalReason::Deadline);
}

MASTICSTEP_TEST("a waiting request is refused when its deadline can no longer be met",
                "[admission][deadline]")
{
  AdmissionQueue queue(MakeOptions(64));
  queue.SetCapacity(kService, 100);
  CHECK_TRUE(queue.Offer(MakeRequest(1, "a", 100), At(0)).kind == AdmissionKind::Admitted);
  CHECK_TRUE(queue.Offer(MakeRequest(2, "a", 100), At(0)).kind == AdmissionKind::Queued);
  CHECK_TRUE(queue.NextWakeUp() == At(29900));
  CHECK_EQUAL(0U, queue.OnTime(At(29899)).size());
  CHECK_EQUAL(1U, queue.OnTime(At(29900)).size());
  CHECK_FALSE(queue.NextWakeUp().has_value());
}

// Guards against starvation of a low-priority class by a busy high-priority class.
MASTICSTEP_TEST("a class of low priority is served under constant load of a high one",
                "[admission][priority]")
{
  AdmissionQueue queue(MakeOptions(64));
  queue.SetCapacity(kService, 100);
  CHECK_TRUE(queue.Offer(MakeRequest(0, "a", 100), At(0)).kind == AdmissionKind::Admitted);
  CHECK_TRUE(queue.Offer(MakeRequest(1, "b", 100, "check"), At(0)).kind == AdmissionKind::Queued);
  std::uint64_t running = 0;
  std::uint64_t rounds = 0;
  while (running != 1 && rounds < 100) {
    queue.Offer(MakeRequest(100 + rounds, "a", 100), At(1));
    queue.OnFinished(RequestId{ running }, 100, At(1));
    const std::vector<AdmissionRequest> released = queue.Release(At(1));
    CHECK_EQUAL(1U, released.size());
    running = released[0].id.value;
    ++rounds;
  }
  // Classes share the capacity in proportion to priority + 1, here 11 to 1, so about one release in
  // 12 is of low priority.
  CHECK_TRUE(rounds <= 13);
}

// Guards against an account that exceeds its limit with many small requests.
MASTICSTEP_TEST("an account is limited to its share of the limit, and its tokens refill over time",
                "[admission][limit]")
{
  AdmissionOptions options = MakeOptions(64);
  options.accounts.push_back({ AccountName("a"), 1.0, 100.0, 1000.0 });
  AdmissionQueue queue(options);
  queue.SetShare(AccountName("a"), 0.5, At(0));
  std::uint64_t n = 0;
  while (queue.Offer(MakeRequest(n, "a", 50), At(0)).kind == AdmissionKind::Admitted) {
    queue.OnFinished(RequestId{ n }, 50, At(0));
    ++n;
  }
  CHECK_EQUAL(10U, n);
  const AdmissionDecision refused = queue.Offer(MakeRequest(n, "a", 50), At(0));
  CHECK_TRUE(refused.refusal.reason == RefusalReason::AccountLimit);
  CHECK_TRUE(refused.refusal.retryAfter > Duration{ 0 });
  CHECK_TRUE(queue.Offer(MakeRequest(n, "a", 50), At(1000)).kind == AdmissionKind::Admitted);
}

// Guards against lost or duplicate requests and against queues that exceed their limits.
MASTICSTEP_TEST("each request is answered once and no queue exceeds its bound",
                "[admission][property]")
{
  masticstep::testing::CheckProperty("admission event sequences", [] {
    const std::size_t limit = *rc::gen::inRange<std::size_t>(1, 12);
    AdmissionQueue queue(MakeOptions(limit));
    queue.SetCapacity(kService, 2000);
    std::set<std::uint64_t> waiting;
    std::set<std::uint64_t> running;
    std::int64_t now = 0;
    std::uint64_t next = 0;
    const std::vector<std::uint16_t> steps =
      *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t step : steps) {
      now += step & 511U;
      const std::uint16_t kind = step >> 13U;
      if (kind < 5) {
        AdmissionRequest request =
          MakeRequest(next++, std::string(1, static_cast<char>('a' + kind)), 100 + (step & 1023U),
                      (step & 1U) != 0 ? "counter" : "check");
        request.deadline = At(now + 2000);
        const AdmissionDecision decision = queue.Offer(request, At(now));
        if (decision.kind == AdmissionKind::Admitted) {
          running.insert(request.id.value);
        } else if (decision.kind == AdmissionKind::Queued) {
          waiting.insert(request.id.value);
        }
      } else if (kind == 5 && !running.empty()) {
        queue.OnFinished(RequestId{ *running.begin() }, 100, At(now));
        running.erase(running.begin());
      } else if (kind == 6 && !waiting.empty()) {
        RC_ASSERT(queue.Cancel(RequestId{ *waiting.begin() }));
        waiting.erase(waiting.begin());
      } else if (kind == 7 && !running.empty()) {
        const std::uint64_t last = *running.rbegin();
        running.erase(last);
        if (!queue.OnNoCapacity(RequestId{ last }, At(now))) {
          waiting.insert(last);
        }
      }
      for (const Refusal& refusal : queue.OnTime(At(now))) {
        RC_ASSERT(waiting.erase(refusal.id.value) == 1);
      }
      for (const AdmissionRequest& request : queue.Release(At(now))) {
        RC_ASSERT(waiting.erase(request.id.value) == 1);
        RC_ASSERT(running.insert(request.id.value).second);
      }
      RC_ASSERT(queue.Waiting() == waiting.size());
      RC_ASSERT(queue.InFlight() == running.size());
      RC_ASSERT(queue.NextWakeUp().has_value() == !waiting.empty());
      RC_ASSERT(queue.Waiting() <= 2 * limit);
      RC_ASSERT(queue.TokensInFlight(kService) <= 2000);
    }
  });
}

// Guards against a request that loses its position when no engine had capacity, and against
// retrying its class continuously in the meantime.
MASTICSTEP_TEST(
  "a request without capacity keeps its queue position and its class is not retried at once",
  "[admission][overload]")
{
  AdmissionQueue queue(MakeOptions(64));
  CHECK_TRUE(queue.Offer(MakeRequest(1, "a", 100), At(1)).kind == AdmissionKind::Admitted);
  CHECK_FALSE(queue.OnNoCapacity(RequestId{ 1 }, At(1)).has_value());
  CHECK_EQUAL(0U, queue.InFlight());
  CHECK_TRUE(queue.Offer(MakeRequest(2, "a", 100), At(2)).kind == AdmissionKind::Queued);
  CHECK_TRUE(queue.Offer(MakeRequest(3, "a", 100, "check"), At(2)).kind == AdmissionKind::Admitted);
  CHECK_TRUE(queue.Release(At(2)).empty());
  // The class is not served for kNoCapacityBackoff (20 ms).
  CHECK_TRUE(queue.NextWakeUp() == At(21));
  const std::vector<AdmissionRequest> released = queue.Release(At(21));
  CHECK_EQUAL(2U, released.size());
  CHECK_EQUAL(RequestId{ 1 }, released[0].id);
}

// Guards against an account that gets more than its weighted share by sending larger or more
// requests.
MASTICSTEP_TEST("accounts that always wait are served in proportion to their weights",
                "[admission][property][fair]")
{
  masticstep::testing::CheckProperty("fair shares", [] {
    AdmissionOptions options = MakeOptions(64);
    std::map<std::string, double> weights;
    std::map<std::string, std::uint32_t> sizes;
    for (const char* name : { "a", "b", "c" }) {
      weights[name] = *rc::gen::inRange(1, 5);
      // An account may queue 16 requests, a quarter of the queue limit. At this size they exceed
      // one release of 3,000 tokens, so every account always has queued requests.
      sizes[name] = *rc::gen::inRange<std::uint32_t>(200, 3000);
      options.accounts.push_back({ AccountName(name), weights[name], 0.0, 0.0 });
    }
    AdmissionQueue queue(options);
    queue.SetCapacity(kService, 3000);
    std::uint64_t next = 1;
    CHECK_TRUE(queue.Offer(MakeRequest(0, "z", 3000), Time{}).kind == AdmissionKind::Admitted);
    std::map<std::string, double> served;
    const auto refill = [&] {
      for (const std::pair<const std::string, std::uint32_t>& item : sizes) {
        while (queue.Offer(MakeRequest(next++, item.first, item.second), Time{}).kind ==
               AdmissionKind::Queued) {
        }
      }
    };
    refill();
    std::vector<AdmissionRequest> running{ MakeRequest(0, "z", 3000) };
    for (int round = 0; round < 400; ++round) {
      for (const AdmissionRequest& request : running) {
        queue.OnFinished(request.id, request.tokens, Time{});
      }
      running = queue.Release(Time{});
      for (const AdmissionRequest& request : running) {
        served[request.account.Text()] += request.tokens;
      }
      refill();
    }
    // At any time, deficit round robin deviates by at most one quantum (1,000 tokens) and one
    // request (up to 3,000 tokens) per account; two accounts are compared.
    for (const std::pair<const std::string, double>& left : served) {
      for (const std::pair<const std::string, double>& right : served) {
        const double difference =
          left.second / weights[left.first] - right.second / weights[right.first];
        RC_ASSERT(difference <= 1000.0 + 2 * 3000.0 + 1000.0);
      }
    }
    RC_ASSERT(served.size() == 3U);
  });
}
