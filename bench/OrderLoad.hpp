#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <vector>

namespace masticstep::bench {

struct OrderLoadOptions
{
  double ordersPerSecond = 1.0;
  Duration span = Seconds(60);
  std::size_t answerBytes = 120; // an answer that fits into its record
  std::size_t daemons = 1;       // that share the orders at random
  std::uint64_t seed = 1;
};

struct OrderLoadResult
{
  std::uint64_t orders = 0;
  std::uint64_t executed = 0;
  std::uint64_t writes = 0; // that reached the platform, refused ones included
  std::uint64_t reads = 0;
  std::vector<double> addedMs; // sorted; of executed orders, time besides the backend server's
  double largestObject = 0;    // bytes
};

// Runs orders with Poisson arrivals through the order machines of some daemons against the
// in-memory platform on virtual time: answers after 5 ms, 400 writes a second. The backend server
// takes 20 to 200 ms.
OrderLoadResult RunShardOrders(const OrderLoadOptions& aOptions);

// The same load with one object per order: a create before the call and an update after it.
OrderLoadResult RunObjectOrders(const OrderLoadOptions& aOptions);

} // namespace masticstep::bench
