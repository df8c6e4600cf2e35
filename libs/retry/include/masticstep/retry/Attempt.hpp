#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

// How far the failed attempt had come.
enum class Progress : std::uint8_t
{
  NotSent,    // no byte reached a backend server
  NotStarted, // the engine or server confirmed that it did not start
  Unknown,    // bytes were sent and nothing is known
  Started     // the engine answered with at least one token
};

// A failed attempt of one request.
struct Attempt
{
  RequestId id;
  ServiceName service;
  Progress progress = Progress::Unknown;
  // Running it twice does no harm: a model request, or a call that the service file marks so.
  bool isRepeatable = false;
  // The engine keeps the stream, so that it can be continued at an offset.
  bool isResumable = false;
  // An earlier attempt of the same request may have run; from the last decision.
  bool mayHaveRunBefore = false;
  // Tokens already passed on to the caller.
  std::uint32_t tokensRelayed = 0;
  std::uint32_t retries = 0;
  // Resumes tried since the last dispatch.
  std::uint32_t resumes = 0;
  Time deadline;
  // Least time that a new attempt needs.
  Duration expected{ 0 };
};

} // namespace masticstep::retry
