#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/orders/WallTime.hpp"

#include <string>

namespace masticstep::orders {

// A caller's request for one non-idempotent call.
struct OrderRequest
{
  RequestId id; // unique within the process
  ServiceName service;
  AccountName account;
  std::string key;    // header Idempotency-Key
  std::string digest; // Sha256Hex of method, path and body
  Time deadline;      // no dispatch at or after this time
  WallTime now;       // for the age of the key

  auto operator<=>(const OrderRequest&) const = default;
};

enum class BackendStatus
{
  Responded, // with a complete answer
  NotSent,   // no byte of the call left this host
  Unknown    // the call may have run
};

// What came of a dispatched call.
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
