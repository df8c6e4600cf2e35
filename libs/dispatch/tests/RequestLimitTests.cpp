// Daemons that divide the limit of a backend server, on virtual time.
#include "masticstep/dispatch/RequestLimit.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <deque>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const BackendServerName kBackend{ "i-1" };
constexpr Duration kStep = Milliseconds(10);
constexpr Duration kWindow = Seconds(4);
constexpr Duration kContact = Seconds(4);

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

struct Totals
{
  std::size_t mostInWindow = 0; // later than kContact after the begin
  std::size_t limited = 0;      // requests while the limit was named
  std::size_t afterwards = 0;   // requests within 20 s after it was not named any more
};

// All daemons want to send to one backend server all the time; it names a limit for aLength.
Totals Play(std::size_t aDaemons, double aPerSecond, Duration aLength, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<HostName> hosts;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    hosts.emplace_back("front-" + std::to_string(i));
  }
  std::vector<DaemonFleet> fleets(aDaemons);
  for (std::size_t i = 0; i < aDaemons; ++i) {
    fleets[i].Set(hosts[i], hosts);
  }
  std::vector<RequestLimit> limits(aDaemons);
  Totals totals;
  std::deque<Time> window;
  const Time begin = At(0.0);
  for (Time now = begin; now < begin + aLength + Seconds(20); now += kStep) {
    const bool isNamed = now < begin + aLength;
    for (std::size_t i = 0; i < aDaemons; ++i) {
      RequestLimit& limit = limits[i];
      if (!limit.AllowsRequest(now)) {
        continue;
      }
      limit.OnSent(now);
      totals.limited += isNamed ? 1 : 0;
      totals.afterwards += isNamed ? 0 : 1;
      if (isNamed) {
        limit.OnNamed(fleets[i].AllotmentOf(kBackend, aPerSecond), random.Uniform(), now);
      } else {
        limit.OnNotNamed(now);
      }
      if (isNamed && now >= begin + kContact) {
        window.push_back(now);
      }
    }
    while (!window.empty() && window.front() + kWindow < now) {
      window.pop_front();
    }
    totals.mostInWindow = std::max(totals.mostInWindow, window.size());
  }
  return totals;
}

} // namespace

// Guards against daemons each of which takes the whole limit, or one request ahead of it.
MASTICSTEP_TEST("7 to 300 daemons together keep the limit of a backend server",
                "[dispatch][limit][fleet]")
{
  for (const std::size_t daemons : { 1U, 7U, 30U, 300U }) {
    for (const double perSecond : { 0.0, 0.5, 3.5, 5.2, 40.0 }) {
      const Totals totals = Play(daemons, perSecond, Seconds(60), 7);
      CHECK_TRUE(static_cast<double>(totals.mostInWindow) <=
                 1.5 * perSecond * ToSeconds(kWindow) + 5.0);
      // The first request of each daemon is sent before it knows of the limit.
      const double used = static_cast<double>(totals.limited - daemons) / 60.0;
      CHECK_TRUE(used >= 0.7 * perSecond);
    }
  }
}

// Guards against a backend server that gets no requests any more.
MASTICSTEP_TEST("a backend server gets requests again once it names no limit",
                "[dispatch][limit][fleet]")
{
  for (const std::size_t daemons : { 7U, 300U }) {
    CHECK_TRUE(Play(daemons, 3.5, Seconds(30), 7).afterwards > 100);
  }
}

MASTICSTEP_TEST("an answer that overtook another one does not end a limit", "[dispatch][limit]")
{
  RequestLimit limit;
  limit.OnNamed({ 1.0, Seconds(100) }, 0.5, At(0.0));
  limit.OnNotNamed(At(0.2));
  CHECK_TRUE(limit.IsSet());
  CHECK_FALSE(limit.AllowsRequest(At(0.9)));
  CHECK_TRUE(limit.AllowsRequest(At(1.1)));
  limit.OnNotNamed(At(1.2));
  CHECK_FALSE(limit.IsSet());
}

MASTICSTEP_TEST("a daemon without a part of the limit sends a probe now and then",
                "[dispatch][limit]")
{
  RequestLimit limit;
  limit.OnNamed({ 0.0, Seconds(100) }, 0.5, At(0.0));
  CHECK_FALSE(limit.AllowsRequest(At(99.0)));
  CHECK_TRUE(limit.AllowsRequest(At(100.0)));
  limit.OnSent(At(100.0));
  CHECK_FALSE(limit.AllowsRequest(At(101.0)));
}
