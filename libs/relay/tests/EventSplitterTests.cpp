#include "EventSplitter.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

MASTICSTEP_TEST("complete events are returned with their ids", "[relay][events]")
{
  EventSplitter events;
  events.Add("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\nda");
  CHECK_TRUE(*events.Next() == StreamEvent({ "id: 1\ndata: a\n\n", 1, true }));
  CHECK_TRUE(*events.Next() == StreamEvent({ "id:2\r\ndata: b\r\n\r\n", 2, true }));
  CHECK_FALSE(events.Next().has_value());
  CHECK_TRUE(events.HasPartialEvent());
  events.Add("ta: c\n\n");
  CHECK_EQUAL(std::uint64_t{ 3 }, *events.Next()->id);
  CHECK_FALSE(events.HasPartialEvent());
}

// Guards against results that depend on how the stream was split into reads.
MASTICSTEP_TEST("events do not depend on read boundaries", "[relay][events][property]")
{
  testing::CheckProperty(
    "results are independent of the split", [](const std::vector<std::uint8_t>& aCuts) {
      const std::string text = "id: 1\ndata: a\n\ndata: x\n\nid: 22\r\ndata: b\r\n\r\n";
      EventSplitter events;
      std::string joined;
      std::size_t begin = 0;
      for (std::size_t i = 0; begin < text.size(); ++i) {
        const std::size_t n = i < aCuts.size() ? aCuts[i] % 7 + 1 : text.size();
        events.Add(text.substr(begin, n));
        begin += n;
        while (const std::optional<StreamEvent> event = events.Next()) {
          joined += event->text + "|";
        }
      }
      const bool isSame = joined == "id: 1\ndata: a\n\n|data: x\n\n|id: 22\r\ndata: b\r\n\r\n|";
      RC_ASSERT(isSame);
    });
}

MASTICSTEP_TEST("comments and empty events carry no data", "[relay][events]")
{
  EventSplitter events;
  events.Add(": ping\n\n\n\nid: 4\n\ndata:\n\n");
  CHECK_FALSE(events.Next()->hasData);
  CHECK_FALSE(events.Next()->hasData);
  CHECK_FALSE(events.Next()->hasData);
  CHECK_TRUE(events.Next()->hasData);
}

// An engine in trouble may send bytes without end. Guards against memory that they fill, and
// against time that grows with the square of their number.
MASTICSTEP_TEST("an event without end is recognised in linear time", "[relay][events][bounds]")
{
  EventSplitter events;
  const std::string part(16, 'x');
  std::size_t n = 0;
  while (!events.HasOversizedEvent()) {
    events.Add(part);
    n += part.size();
    CHECK_FALSE(events.Next().has_value());
    CHECK_TRUE(n <= EventSplitter::kMaximumEventBytes + part.size());
  }
}

// Guards against a search of all bytes that are held for each event among them: with a million
// events the test would not end in time.
MASTICSTEP_TEST("many empty events are split in linear time", "[relay][events][bounds]")
{
  constexpr std::size_t kEvents = 1000000;
  for (const std::string lineEnd : { "\n", "\r\n" }) {
    std::string text;
    for (std::size_t i = 0; i < kEvents; ++i) {
      text += lineEnd + lineEnd;
    }
    EventSplitter events;
    events.Add(text);
    std::size_t n = 0;
    while (events.Next()) {
      ++n;
    }
    CHECK_EQUAL(kEvents, n);
  }
}
