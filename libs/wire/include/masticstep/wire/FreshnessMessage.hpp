#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace masticstep::wire {

// Question to another daemon up to which time it knows its configuration to be the newest, or the
// answer.
struct FreshnessMessage
{
  Time asked; // by the clock of the asking daemon
  bool isAnswer = false;
  std::uint64_t configuration = 0; // version in force at the answering daemon
  Duration age{ 0 };               // of the answering daemon's knowledge, when it answers

  bool operator==(const FreshnessMessage&) const = default;
};

std::string EncodeFreshnessMessage(const FreshnessMessage& aMessage);
// Returns whether the bytes begin like a freshness message; they need not be valid.
bool IsFreshnessMessage(std::string_view aBytes);
// Fails if the bytes are not a complete, valid message.
Result<FreshnessMessage, WireError> DecodeFreshnessMessage(std::string_view aBytes);

} // namespace masticstep::wire
