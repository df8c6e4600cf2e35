#pragma once

#include "masticstep/base/Time.hpp"

#include <cstddef>

namespace masticstep::admission {

struct ShareOptions
{
  // Number of daemons in the fleet.
  std::size_t daemons = 8;
  // Fraction of each limit that is divided evenly, so that every daemon can admit requests at once.
  // The rest is divided by usage.
  double evenFraction = 0.3;
  // Minimum time between two reports of one account.
  Duration reportInterval = Seconds(2);
  // The owner discards a daemon's usage if it gets no report for this long.
  Duration expiry = Seconds(10);
};

} // namespace masticstep::admission
