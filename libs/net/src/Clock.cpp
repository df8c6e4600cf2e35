#include "masticstep/net/Clock.hpp"

#include <ctime>

namespace masticstep::net {

Time Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(Seconds(now.tv_sec) + Microseconds(now.tv_nsec / 1000));
}

} // namespace masticstep::net
