#pragma once

#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace masticstep::standins {

struct LoadSnapshot
{
  std::uint64_t sequence = 0;
  Time takenAt;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t blocksUsed = 0;
  std::string role;
  std::vector<std::string> models;
  std::string state;
};

// Load reports with a lag: a reader gets the latest snapshot that is at least as old as the lag.
class LoadReports
{
public:
  void Append(LoadSnapshot aSnapshot);
  // Returns the oldest snapshot if none is old enough, or a default one if there are none.
  LoadSnapshot Read(Time aNow, Duration aLag) const;

private:
  std::deque<LoadSnapshot> mSnapshots;
  std::uint64_t mLast = 0;
};

} // namespace masticstep::standins
