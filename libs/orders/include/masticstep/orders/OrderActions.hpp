#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <string>
#include <vector>

namespace masticstep::orders {

enum class AnswerKind
{
  Executed, // the backend server's answer, now or from the record
  NotRun,   // no byte of this request reached a backend server, nor will it
  Unknown   // a call with this key may have run
};

enum class AnswerReason
{
  None,
  BadKey,         // neither a UUID of version 7 nor dated
  KeyTooFarAhead, // dated more than 10 min ahead
  KeyTooOld,      // its record may have been dropped
  OtherBody,      // the key was claimed with another request
  Claimed,        // the key was claimed and no outcome is known
  ClosedKey,      // the key was claimed, did not run and never will
  ShardFull,      // too many calls in this 10 s bucket
  PlatformDown,   // the claim did not become durable in time
  DeadlinePassed, // before dispatch
  BackendNotReached,
  BackendSilent,
  OutcomeNotKept, // the call ran; its answer was too large to keep
  Overload        // too many calls in progress here
};

// Answer to the caller.
struct OrderAnswer
{
  RequestId id;
  AnswerKind kind = AnswerKind::Unknown;
  AnswerReason reason = AnswerReason::None;
  std::uint32_t httpStatus = 0;
  std::string contentType; // if executed
  std::string body;        // if executed
  bool replayed = false;   // from the record of an earlier request

  auto operator<=>(const OrderAnswer&) const = default;
};

// Says that the call is to be sent to a backend server now, exactly once.
struct OrderDispatch
{
  RequestId id;
  Time deadline;

  auto operator<=>(const OrderDispatch&) const = default;
};

struct OrderActions
{
  std::vector<platform::PlatformRequest> requests;
  std::vector<OrderDispatch> dispatches;
  std::vector<OrderAnswer> answers;
};

// Returns the message for a refusal, which tells the caller what to do.
const char* MessageOf(AnswerReason aReason);

// Returns an answer of a refusal with its HTTP status.
OrderAnswer Refuse(RequestId aId, AnswerReason aReason);

} // namespace masticstep::orders
