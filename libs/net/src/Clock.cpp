#include "masticstep/net/Clock.hpp"

#include <chrono>

namespace masticstep::net {

Time Now()
{
  const std::chrono::steady_clock::duration n = std::chrono::steady_clock::now().time_since_epoch();
  return Time(std::chrono::duration_cast<Duration>(n));
}

} // namespace masticstep::net
