#include "SseParser.hpp"
#include "masticstep/testing/Test.hpp"

using masticstep::gateway::SseParser;

// Guards against events that depend on how the bytes are split into packets.
MASTICSTEP_TEST("the events do not depend on how the bytes are split", "[gateway][sse]")
{
  const std::string text = ": keep-alive\n\ndata: {\"a\":1}\n\r\nevent: x\r\ndata:two\r\n"
                           "data: lines\r\n\r\n\ndata: [DONE]\n\n";
  const std::vector<std::string> expected = { "{\"a\":1}", "two\nlines", "[DONE]" };
  for (std::size_t split = 0; split <= text.size(); ++split) {
    SseParser parser;
    std::vector<std::string> events;
    for (const std::string& part : { text.substr(0, split), text.substr(split) }) {
      parser.Feed(part);
      while (const std::optional<std::string> event = parser.Next()) {
        events.push_back(*event);
      }
    }
    CHECK_TRUE(expected == events);
  }
}

// Guards against unbounded memory use for an event that never ends.
MASTICSTEP_TEST("an event without an end is reported as overlong", "[gateway][sse][bounds]")
{
  SseParser parser;
  const std::string line = "data: " + std::string(4096, 'x') + "\n";
  std::size_t fed = 0;
  while (!parser.IsOverlong()) {
    parser.Feed(line);
    parser.Next();
    fed += line.size();
    CHECK_TRUE(fed < 2097152U);
  }
}
