#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::authority {

// Order to an engine, such as set_role or load_model.
struct EngineOrder
{
  std::string id; // unique; an engine that receives the same id again does not execute it again
  std::string kind;
  std::string argument;

  auto operator<=>(const EngineOrder&) const = default;
};

enum class IntentState
{
  Outstanding, // the order may have been sent and may still be sent until its timeout
  Done         // the engine confirmed the order, and no copy of it is in flight
};

// Durable record of an order, written before the order is sent. Content of the object
// engines/{engine}/intent.
struct Intent
{
  EngineOrder order;
  std::uint64_t fencing = 0;
  Duration timeout{}; // after the write; the order is not sent later
  IntentState state = IntentState::Outstanding;
  std::string nonce; // identifies the write, to recognize it after a lost reply

  auto operator<=>(const Intent&) const = default;
};

// Returns engines/{engine}/intent.
platform::ObjectKey IntentKey(const EngineId& aEngine);

std::string EncodeIntent(const Intent& aIntent);
// Returns nothing if the text is not the content of an intent object.
std::optional<Intent> ParseIntent(std::string_view aText);

} // namespace masticstep::authority
