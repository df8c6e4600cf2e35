#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <string>
#include <vector>

namespace masticstep::orders {

enum class ResponseKind
{
  Executed, // the backend server's answer, now or from the record
  NotRun,   // no byte of this request reached a backend server, nor will it
  Unknown   // a call with this key may have run
};

enum class ResponseReason
{
  None,
  InvalidKey,          // neither a UUID of version 7 nor dated
  KeyTooFarInFuture,   // dated more than 10 min ahead
  KeyTooOld,           // its record may have been dropped
  RequestMismatch,     // the key was claimed with another request
  Claimed,             // the key was claimed and no outcome is known
  ClaimedButNotRun,    // the key was claimed, did not run and never will
  ShardFull,           // too many calls in this 10 s bucket
  PlatformUnavailable, // the claim did not become durable in time
  DeadlineExceeded,    // before dispatch
  BackendUnreachable,
  BackendNoResponse,
  OutcomeTooLarge, // the call ran; its answer was too large to keep
  Overload         // too many calls in progress here
};

// Answer to the caller.
struct OrderResponse
{
  RequestId id;
  ResponseKind kind = ResponseKind::Unknown;
  ResponseReason reason = ResponseReason::None;
  std::uint32_t httpStatus = 0;
  std::string contentType; // if executed
  std::string body;        // if executed
  bool replayed = false;   // from the record of an earlier request

  auto operator<=>(const OrderResponse&) const = default;
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
  std::vector<OrderResponse> responses;
};

// Returns the message for a refusal, which tells the caller what to do.
const char* MessageOf(ResponseReason aReason);

// Returns an answer of a refusal with its HTTP status.
OrderResponse Refuse(RequestId aId, ResponseReason aReason);

} // namespace masticstep::orders
