#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

// Progress of an attempt at the time of its failure.
enum class Progress : std::uint8_t
{
  NotSent,    // no byte reached a backend server
  NotStarted, // the engine or backend server confirmed that it did not start the request
  Unknown,    // bytes were sent, and it is unknown whether the request started
  Started     // the engine returned at least one token
};

// A failed attempt of one request.
struct Attempt
{
  RequestId id;
  ServiceName service;
  Progress progress = Progress::Unknown;
  // The request can safely run twice: it is a model request, or the service file marks the call as
  // repeatable.
  bool isRepeatable = false;
  // The engine retains the stream, so that it can be resumed at an offset.
  bool isResumable = false;
  // An earlier attempt of the same request may have run; taken from the previous decision.
  bool mayHaveRunBefore = false;
  // Tokens already forwarded to the caller.
  std::uint32_t tokensRelayed = 0;
  std::uint32_t retries = 0;
  // Resume attempts since the last dispatch.
  std::uint32_t resumes = 0;
  Time deadline;
  // Of a new attempt.
  Duration minimumDuration{ 0 };
};

} // namespace masticstep::retry
