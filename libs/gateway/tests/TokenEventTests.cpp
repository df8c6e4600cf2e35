#include "TokenEvent.hpp"
#include "masticstep/testing/Test.hpp"

using masticstep::gateway::TokenEvent;

namespace {

std::string EventAt(const std::string& aOffset)
{
  return R"({"id":"r","offset":)" + aOffset + R"(,"choices":[{"text":"a"}]})";
}

} // namespace

// Guards against an offset that is truncated to 32 bits and then equals the expected one.
MASTICSTEP_TEST("an event with an invalid or out-of-range offset is not a token event",
                "[gateway][stream]")
{
  for (const char* offset : { "-1", "4294967296", "9223372036854775807", "1.0", "null" }) {
    CHECK_TRUE(!TokenEvent::Parse(EventAt(offset)));
  }
  CHECK_EQUAL(4294967295U, TokenEvent::Parse(EventAt("4294967295"))->offset);
}
