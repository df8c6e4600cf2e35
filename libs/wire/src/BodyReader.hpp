#pragma once

#include "BodyWriter.hpp"

#include <optional>
#include <string_view>

namespace masticstep::wire {

// Verifies and decodes the body. Returns nullopt if it is malformed.
std::optional<Message> ReadBody(FrameType aType, std::string_view aBody);

} // namespace masticstep::wire
