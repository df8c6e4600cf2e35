#include "masticstep/net/Clock.hpp"

#include <ctime>

namespace masticstep::net {

Time Now()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(Seconds(now.tv_sec) + Microseconds(now.tv_nsec / 1000));
}

std::chrono::sys_time<Duration> TimeOfDay()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace masticstep::net
