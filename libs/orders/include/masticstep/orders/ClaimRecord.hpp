#pragma once

#include "masticstep/base/Identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticstep::orders {

// What a key is unique within: the key of one account.
struct ClaimKey
{
  AccountName account;
  std::string key;

  auto operator<=>(const ClaimKey&) const = default;
};

enum class OutcomeKind
{
  Executed, // the backend server answered
  NotRun,   // the claiming process did not dispatch the call and never will
  NotKept   // the backend server answered, but the body is too large to keep
};

// How a claimed call ended.
struct CallOutcome
{
  OutcomeKind kind = OutcomeKind::NotRun;
  std::uint32_t status = 0; // HTTP status of the backend server
  std::string contentType;
  std::string body;
  // If not empty: the outcome object that holds content type and body, and the place in it.
  std::string object;
  std::uint32_t index = 0;

  auto operator<=>(const CallOutcome&) const = default;
};

// Durable record of one non-idempotent call.
struct ClaimRecord
{
  ClaimKey key;
  std::string digest; // of the request; first 128 bits of SHA-256 as hexadecimal digits
  std::string nonce;  // of the claim; only the process that drew it may dispatch
  HostName daemon;    // for operators
  std::optional<CallOutcome> outcome;

  auto operator<=>(const ClaimRecord&) const = default;
};

} // namespace masticstep::orders
