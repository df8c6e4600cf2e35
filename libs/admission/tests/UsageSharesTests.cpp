#include "masticstep/admission/UsageShares.hpp"
#include "masticstep/testing/Test.hpp"

#include <string>
#include <vector>

using namespace masticstep;
using namespace masticstep::admission;

namespace {

const AccountName kAccount("dealer-1");

std::vector<UsageShares> MakeDaemons(const ShareOptions& aOptions)
{
  std::vector<UsageShares> daemons;
  for (std::size_t i = 0; i < aOptions.daemons; ++i) {
    daemons.emplace_back(aOptions, HostName("host-" + std::to_string(i)));
  }
  return daemons;
}

double SumOfShares(const std::vector<UsageShares>& aDaemons)
{
  double sum = 0.0;
  for (const UsageShares& daemon : aDaemons) {
    sum += daemon.Share(kAccount);
  }
  return sum;
}

} // namespace

// Guards against daemons that together admit more than an account's limit.
MASTICSTEP_TEST("shares of all daemons never exceed the limit together",
                "[admission][limit][property]")
{
  masticstep::testing::CheckProperty("shares", [] {
    ShareOptions options;
    options.daemons = 5;
    std::vector<UsageShares> daemons = MakeDaemons(options);
    ShareAllocator allocator(options);
    const std::vector<std::uint16_t> steps =
      *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
    Time now{};
    for (const std::uint16_t step : steps) {
      now += Milliseconds(step & 4095U);
      UsageShares& daemon = daemons[step % 5U];
      daemon.OnAdmitted(kAccount, 1.0 + (step >> 4U), now);
      for (UsageShares& each : daemons) {
        for (const UsageReport& report : each.Reports(now)) {
          each.OnGrant(allocator.OnReport(report, now), now);
        }
      }
      RC_ASSERT(SumOfShares(daemons) <= 1.0 + 1e-9);
    }
  });
}

// Guards against giving the only daemon that an account uses just an equal part of the limit, and
// against granting twice the limit or more while that daemon is partitioned.
MASTICSTEP_TEST("a share follows usage, and a partitioned daemon keeps its share",
                "[admission][limit][partition]")
{
  ShareOptions options;
  std::vector<UsageShares> daemons = MakeDaemons(options);
  ShareAllocator allocator(options);
  const auto use = [&](std::size_t aDaemon, std::int64_t aSecond, bool aIsPartitioned) {
    const Time now{ Seconds(aSecond) };
    daemons[aDaemon].OnAdmitted(kAccount, 1000.0, now);
    for (const UsageReport& report : daemons[aDaemon].Reports(now)) {
      if (!aIsPartitioned) {
        daemons[aDaemon].OnGrant(allocator.OnReport(report, now), now);
      }
    }
  };
  for (std::int64_t second = 0; second < 20; ++second) {
    use(0, second, false);
  }
  CHECK_TRUE(daemons[0].Share(kAccount) > 0.7);
  for (std::int64_t second = 20; second < 60; ++second) {
    use(0, second, true);
    use(1, second, false);
  }
  CHECK_TRUE(daemons[0].Share(kAccount) > 0.7);
  CHECK_TRUE(daemons[1].Share(kAccount) > 0.7);
  CHECK_TRUE(SumOfShares(daemons) < 2.0);
}
