#pragma once

#include "RunState.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::gateway {

// How far a failed attempt had come.
enum class AttemptProgress
{
  NotSent,    // no byte reached a backend server
  NotStarted, // the engine confirmed that it did not start
  Unknown,    // bytes were sent and nothing is known
  Started     // at least one token arrived
};

struct FailedAttempt
{
  RequestId id;
  ServiceName service;
  AttemptProgress progress = AttemptProgress::Unknown;
  bool isRepeatable = false;
  bool isResumable = false;
  bool mayHaveRunBefore = false;
  std::uint32_t tokensRelayed = 0;
  std::uint32_t retries = 0;
  std::uint32_t resumes = 0;
  Time deadline;

  bool operator==(const FailedAttempt&) const = default;
};

enum class NextStep
{
  Retry,
  Resume,
  GiveUp
};

struct RetryDecision
{
  NextStep step = NextStep::GiveUp;
  RunState run = RunState::Unknown;
  Duration delay{ 0 };
  bool mayHaveRun = true;

  bool operator==(const RetryDecision&) const = default;
};

// Decides what follows a failed attempt. Safe to call from every thread.
class RetryDecider
{
public:
  void OnFirstAttempt(const ServiceName& aService);
  RetryDecision Decide(const FailedAttempt& aAttempt, Time aNow);
};

} // namespace masticstep::gateway
