#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

enum class RetryKind : std::uint8_t
{
  Retry,  // send the whole request again, to another engine if there is one
  Resume, // continue the stream at `offset` on the same engine over a new connection
  GiveUp
};

// What a refusal says about execution. NotRun is a promise.
enum class RunState : std::uint8_t
{
  NotRun,
  Unknown
};

enum class GiveUpReason : std::uint8_t
{
  None,
  NotRepeatable,
  Budget,
  Deadline,
  Attempts
};

struct RetryDecision
{
  RetryKind kind = RetryKind::GiveUp;
  // For GiveUp: what the refusal says.
  RunState run = RunState::Unknown;
  GiveUpReason reason = GiveUpReason::None;
  // For Resume: tokens already relayed.
  std::uint32_t offset = 0;
  // Wait before the next attempt.
  Duration delay{ 0 };
  // For the next Attempt of this request.
  bool mayHaveRun = true;
  // The caller's deadline, unchanged by attempts.
  Time deadline;
};

} // namespace masticstep::retry
