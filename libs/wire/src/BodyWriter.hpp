#pragma once

#include "masticstep/wire/Message.hpp"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>

namespace masticstep::wire {

// Type field of the frame header. 0 is reserved, so that a zeroed header is rejected.
enum class FrameType : std::uint16_t
{
  Hello = 1,
  Membership = 2,
  Spread = 3,
  Content = 4
};

FrameType TypeOf(const Message& aMessage);

// Serializes the body of a message and finishes the buffer.
void WriteBody(flatbuffers::FlatBufferBuilder& aBuilder, const Message& aMessage);

} // namespace masticstep::wire
