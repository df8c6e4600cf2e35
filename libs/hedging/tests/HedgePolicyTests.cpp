#include "masticstep/hedging/HedgePolicy.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <functional>

using namespace masticstep;
using namespace masticstep::hedging;

namespace {

const std::string kKind = "look";

struct Outcome
{
  std::vector<double> latencies; // in milliseconds
  int secondTries = 0;

  double Quantile(double aShare)
  {
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(aShare * static_cast<double>(latencies.size() - 1))];
  }
};

// Sends requests at even intervals to servers chosen at random. aTime returns how long the server
// with a number takes for a request.
Outcome Play(double aShare, int aRequests, double aIntervalMs,
             const std::function<double(std::uint64_t aServer, int aRequest, Random&)>& aTime)
{
  struct Waiting
  {
    double sent;
    double slowAt;
    double end;
    bool isSlow = false;
  };
  constexpr std::uint64_t kServers = 10;
  HedgePolicy policy(HedgeOptions{ aShare });
  Random random(3);
  Outcome outcome;
  std::vector<Waiting> waiting;
  int sent = 0;
  for (double now = 0.0; sent < aRequests || !waiting.empty(); now += 1.0) {
    for (Waiting& item : waiting) {
      if (!item.isSlow && now >= item.slowAt && now < item.end) {
        item.isSlow = true;
        if (policy.OnSlow(kKind) == Withheld::None) {
          ++outcome.secondTries;
          const double second = aTime(random.Below(kServers), sent, random);
          item.end = std::min(item.end, now + second);
        }
      }
      if (now >= item.end) {
        outcome.latencies.push_back(item.end - item.sent);
        policy.OnEnd(kKind, item.isSlow,
                     Microseconds(static_cast<std::int64_t>(1000.0 * (item.end - item.sent))));
      }
    }
    std::erase_if(waiting, [now](const Waiting& aItem) { return now >= aItem.end; });
    if (sent < aRequests && now >= sent * aIntervalMs) {
      const std::optional<Duration> delay = policy.OnSent(kKind);
      const double end = now + aTime(random.Below(kServers), sent, random);
      waiting.push_back({ now, delay ? now + 1000.0 * ToSeconds(*delay) : 1e12, end });
      ++sent;
    }
  }
  return outcome;
}

double Usual(Random& aRandom)
{
  return 20.0 + 20.0 * aRandom.Uniform();
}

} // namespace

// Load: one server of ten takes twenty times as long.
MASTICSTEP_TEST("one slow server no longer spoils the slowest answers", "[hedging]")
{
  const auto time = [](std::uint64_t aServer, int, Random& aRandom) {
    return (aServer == 0 ? 20.0 : 1.0) * Usual(aRandom);
  };
  Outcome without = Play(0.0, 5000, 5.0, time);
  Outcome with = Play(0.12, 5000, 5.0, time);
  CHECK_EQUAL(0, without.secondTries);
  CHECK_TRUE(with.Quantile(0.97) < 0.5 * without.Quantile(0.97));
  CHECK_TRUE(with.secondTries <= 0.12 * 5000);
}

// Load: a tenth of the answers is slow for no lasting reason; the operator allows two in a hundred.
MASTICSTEP_TEST("the share is kept while many requests are slow", "[hedging]")
{
  const auto time = [](std::uint64_t, int, Random& aRandom) {
    return (aRandom.Chance(0.1) ? 10.0 : 1.0) * Usual(aRandom);
  };
  for (const double share : { 0.01, 0.02, 0.05 }) {
    const Outcome outcome = Play(share, 5000, 5.0, time);
    CHECK_TRUE(outcome.secondTries > 0);
    CHECK_TRUE(outcome.secondTries <= share * 5000);
  }
}

// Load: all servers become ten times slower at once. Guards against extra work that makes it worse.
MASTICSTEP_TEST("no second tries are sent when all servers are slow", "[hedging]")
{
  constexpr int kBefore = 1000;
  const auto time = [](std::uint64_t, int aRequest, Random& aRandom) {
    return (aRequest < kBefore ? 1.0 : 10.0) * Usual(aRandom);
  };
  const int before = Play(0.05, kBefore, 5.0, time).secondTries;
  const int all = Play(0.05, 3000, 5.0, time).secondTries;
  CHECK_TRUE(all - before <= 10); // in the moment of the change
}

// Load: a burst of ten times the requests, which all wait longer.
MASTICSTEP_TEST("a burst gets no more second tries than its share", "[hedging]")
{
  const auto time = [](std::uint64_t, int aRequest, Random& aRandom) {
    return (aRequest < 1000 ? 1.0 : 3.0) * Usual(aRandom);
  };
  const Outcome outcome = Play(0.05, 4000, 0.5, time);
  CHECK_TRUE(outcome.secondTries <= 0.05 * 4000);
}

MASTICSTEP_TEST("the share is kept in any sequence, and off means none", "[hedging]")
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    for (const double share : { 0.0, 0.03 }) {
      HedgePolicy policy(HedgeOptions{ share });
      double requests = 0.0;
      double sent = 0.0;
      for (int step = 0; step < 2000; ++step) {
        const std::string kind = random.Chance(0.5) ? "a" : "b";
        const double choice = random.Uniform();
        if (choice < 0.4) {
          policy.OnSent(kind);
          ++requests;
        } else if (choice < 0.7) {
          sent += policy.OnSlow(kind) == Withheld::None ? 1.0 : 0.0;
        } else {
          policy.OnEnd(kind, random.Chance(0.5), Milliseconds(step));
        }
        CHECK_TRUE(sent <= share * requests + 1e-9);
      }
    }
  }
}
