#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace masticstep::dispatch {

// Limit on retries to one service, summed over all daemons.
struct RetryBounds
{
  double ratio = 0.2;            // retries per request within the window
  double slack = 0.0;            // retries of all daemons allowed above the ratio
  Duration window = Seconds(10); // sliding

  bool operator==(const RetryBounds&) const = default;
};

// Enforces one daemon's part of the limit without coordination: the ratio is applied to the
// daemon's own requests, and each daemon uses an equal share of the slack.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBounds aBounds = {});

  void SetBounds(RetryBounds aBounds);
  // Sets the number of daemons that share the slack. Daemons that have left may be included.
  void SetDaemonCount(std::size_t aCount);
  void OnRequest(const ServiceName& aService, Time aNow);
  // Returns whether the budget allows aCount retries now.
  bool Allows(const ServiceName& aService, Time aNow, std::uint32_t aCount = 1);
  // Records retries if the budget allows all of them, and returns whether it does.
  bool TryAcquire(const ServiceName& aService, Time aNow, std::uint32_t aCount = 1);
  // Records retries regardless of the budget.
  void OnRetry(const ServiceName& aService, Time aNow, std::uint32_t aCount = 1);

private:
  struct Bucket
  {
    Time begin;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  struct Window
  {
    std::deque<Bucket> buckets;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  Window& WindowOf(const ServiceName& aService, Time aNow);
  double Allowance(const Window& aWindow) const;

  RetryBounds mBounds;
  std::size_t mDaemonCount = 0; // 0: unknown
  std::unordered_map<ServiceName, Window> mWindows;
};

} // namespace masticstep::dispatch
