#pragma once

#include "BodyWriter.hpp"

#include <optional>
#include <string_view>

namespace masticstep::wire {

// Verifies the body and reads it. Returns nothing if it is malformed.
std::optional<Message> ReadBody(FrameType aType, std::string_view aBody);

} // namespace masticstep::wire
