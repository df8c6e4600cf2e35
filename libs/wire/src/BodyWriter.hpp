#pragma once

#include "masticstep/wire/Message.hpp"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>

namespace masticstep::wire {

// Frame types. 0 is never used, so that a zeroed header is refused.
enum class FrameType : std::uint16_t
{
  Hello = 1,
  Membership = 2,
  Spread = 3,
  Content = 4
};

FrameType TypeOf(const Message& aMessage);

// Writes the body of a message and finishes the buffer.
void WriteBody(flatbuffers::FlatBufferBuilder& aBuilder, const Message& aMessage);

} // namespace masticstep::wire
