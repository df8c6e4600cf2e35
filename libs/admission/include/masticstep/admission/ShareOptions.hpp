#pragma once

#include "masticstep/base/Time.hpp"

#include <cstddef>

namespace masticstep::admission {

struct ShareOptions
{
  // Daemons of the fleet.
  std::size_t daemons = 8;
  // Part of each limit that is divided evenly, so that every daemon can start at once. The rest
  // follows usage.
  double evenFraction = 0.3;
  // Least time between two reports of one account.
  Duration reportInterval = Seconds(2);
  // The owner forgets a daemon's usage after this time without a report.
  Duration expiry = Seconds(10);
};

} // namespace masticstep::admission
