#pragma once

#include "masticstep/base/Identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticstep::orders {

// Idempotency key, scoped to a client account.
struct ClaimKey
{
  AccountName account;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

enum class OutcomeKind
{
  Executed, // the backend server returned a complete response
  NotRun,   // the claiming process did not dispatch the call and never will
  NotKept   // the backend server responded, but the body is too large to store
};

// Final state of a claimed call.
struct CallOutcome
{
  OutcomeKind kind = OutcomeKind::NotRun;
  std::uint32_t status = 0; // HTTP status returned by the backend server
  std::string contentType;
  std::string body;
  // If not empty, status, content type and body are stored in this outcome object at `index`.
  std::string object;
  std::uint32_t index = 0;

  auto operator<=>(const CallOutcome&) const = default;
};

// Durable claim of an idempotency key, with the outcome of its call once known.
struct ClaimRecord
{
  ClaimKey key;
  std::string digest; // first 128 bits of the SHA-256 of the request, in hexadecimal
  std::string nonce;  // of the claim; only the process that generated it may dispatch the call
  HostName daemon;    // that made the claim; for diagnostics only
  std::optional<CallOutcome> outcome;

  auto operator<=>(const ClaimRecord&) const = default;
};

} // namespace masticstep::orders
