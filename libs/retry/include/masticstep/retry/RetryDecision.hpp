#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::retry {

enum class RetryKind : std::uint8_t
{
  Retry,  // send the whole request again, to another engine if there is one
  Resume, // resume the stream at `offset` on the same engine over a new connection
  GiveUp
};

// What a refusal states about the execution of the request. NotRun is a guarantee.
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
  // For GiveUp: the execution state to report.
  RunState run = RunState::Unknown;
  GiveUpReason reason = GiveUpReason::None;
  // For Resume: tokens already forwarded to the caller.
  std::uint32_t offset = 0;
  // Delay before the next attempt.
  Duration delay{ 0 };
  // Value for the next Attempt of this request.
  bool mayHaveRun = true;
  // The caller's deadline. Attempts do not extend it.
  Time deadline;
};

} // namespace masticstep::retry
