#pragma once

#include "masticstep/base/Time.hpp"

#include <boost/json.hpp>

namespace masticstep::standins {

struct EngineFaults
{
  bool silent = false;           // streams send nothing, not even comment lines
  bool refusing = false;         // completions answer 503 without starting
  bool crashInChange = false;    // the process ends in the middle of the next order
  std::int64_t failRequests = 0; // completions that answer 500 after they were accepted
  double slowFactor = 1.0;       // length of a step relative to its cost
  Duration cacheEventDelay = Milliseconds(500);
  double cacheEventLoss = 0.02;
  Duration loadLag = Milliseconds(200);
};

// Sets the members that the body names.
void ApplyEngineFaults(const boost::json::object& aBody, EngineFaults& aFaults);

} // namespace masticstep::standins
