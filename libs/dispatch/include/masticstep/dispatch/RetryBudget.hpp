#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace masticstep::dispatch {

// Bound on repeated sends to one service, which holds for all daemons together.
struct RetryBounds
{
  double ratio = 0.2;            // of the requests within the window
  double slack = 0.0;            // sends of all daemons above the ratio
  Duration window = Seconds(10); // sliding

  bool operator==(const RetryBounds&) const = default;
};

// Keeps one daemon's part of the bound. The ratio follows the daemon's own requests, so that the
// daemons need not talk to each other; of the slack each daemon uses a fixed small part.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBounds aBounds = {});

  void SetBounds(RetryBounds aBounds);
  void OnRequest(const ServiceName& aService, Time aNow);
  // Counts one repeated send if the budget allows it.
  bool TryAcquire(const ServiceName& aService, Time aNow);
  // Counts one repeated send that was already made.
  void OnRetry(const ServiceName& aService, Time aNow);

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
  std::unordered_map<ServiceName, Window> mWindows;
};

} // namespace masticstep::dispatch
