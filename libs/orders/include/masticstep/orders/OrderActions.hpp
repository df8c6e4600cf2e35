#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <string>
#include <vector>

namespace masticstep::orders {

enum class ResponseKind
{
  Executed, // response of the backend server, live or replayed from the record
  NotRun,   // no byte of this request reached a backend server or ever will
  Unknown   // a call with this key may have been executed
};

enum class ResponseReason
{
  None,
  InvalidKey,            // neither a UUIDv7 nor a date-prefixed key
  KeyTooFarInFuture,     // key date is more than 10 min in the future
  KeyTooOld,             // the retention period of its record may have ended
  RequestMismatch,       // the key was claimed by a request with a different digest
  ClaimedWithoutOutcome, // the key was claimed and no outcome is known
  ClaimedButNotRun,      // the claim is recorded as never executed
  ShardFull,             // the shard of this key and 10 s bucket has no room left
  PlatformUnavailable,   // the claim did not become durable within the claim timeout
  DeadlineExceeded,      // before dispatch
  BackendUnreachable,    // no connection to a backend server could be opened
  BackendNoResponse,     // no complete response after the call was sent
  OutcomeTooLarge,       // the call was executed; its response was too large to store
  Overload               // too many concurrent calls in this process
};

// Response to the caller.
struct OrderResponse
{
  RequestId id;
  ResponseKind kind = ResponseKind::Unknown;
  ResponseReason reason = ResponseReason::None;
  std::uint32_t httpStatus = 0;
  std::string contentType; // if executed
  std::string body;        // if executed
  bool replayed = false;   // replayed from the record of an earlier request

  auto operator<=>(const OrderResponse&) const = default;
};

// Instructs the caller of OrderMachine to send the call to a backend server once, without delay.
struct OrderDispatch
{
  RequestId id;
  Time deadline;

  auto operator<=>(const OrderDispatch&) const = default;
};

// Effects requested by OrderMachine, to be carried out by its caller.
struct OrderActions
{
  std::vector<platform::PlatformRequest> requests;
  std::vector<OrderDispatch> dispatches;
  std::vector<OrderResponse> responses;
};

// Returns the error message for a refusal, including how the caller should retry.
const char* MessageOf(ResponseReason aReason);

// Builds the refusal for a reason, with the matching kind and HTTP status.
OrderResponse Refuse(RequestId aId, ResponseReason aReason);

} // namespace masticstep::orders
