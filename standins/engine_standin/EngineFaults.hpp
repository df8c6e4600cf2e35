#pragma once

#include "masticstep/base/Time.hpp"

#include <boost/json.hpp>

namespace masticstep::standins {

// Faults that the engine injects.
struct EngineFaults
{
  bool silent = false;           // responses stall; streams do not even send keep-alive comments
  bool refusing = false;         // reject completions with status 503
  bool crashInChange = false;    // exit halfway through the next role change or load
  std::int64_t failRequests = 0; // number of accepted completions that fail with status 500
  double slowFactor = 1.0;       // factor on the duration of a step
  Duration cacheEventDelay = Milliseconds(500);
  double cacheEventLoss = 0.02;
  Duration loadLag = Milliseconds(200);
};

// Applies the faults that the body names; the others stay as they are.
void ApplyEngineFaults(const boost::json::object& aBody, EngineFaults& aFaults);

} // namespace masticstep::standins
