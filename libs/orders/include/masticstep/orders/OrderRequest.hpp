#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/orders/WallTime.hpp"

#include <string>

namespace masticstep::orders {

// Request of a caller to execute one non-idempotent call.
struct OrderRequest
{
  RequestId id; // unique within the process
  ServiceName service;
  AccountName account;
  std::string key;    // value of the Idempotency-Key header
  std::string digest; // Sha256Hex of method, path and body
  Time deadline;      // no dispatch at or after this time
  WallTime now;       // determines the age of the key

  auto operator<=>(const OrderRequest&) const = default;
};

enum class BackendStatus
{
  Responded, // a complete response was received
  NotSent,   // no byte of the call left this host
  Unknown    // the call may have been executed
};

// Result of a dispatched call.
struct BackendReply
{
  RequestId id;
  BackendStatus status = BackendStatus::Unknown;
  std::uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;

  auto operator<=>(const BackendReply&) const = default;
};

} // namespace masticstep::orders
