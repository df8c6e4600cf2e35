#include "StreamSequence.hpp"

#include "masticstep/testing/Test.hpp"

#include <vector>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using net::BodyFraming;
using Fault = std::optional<StreamFault>;

// What one engine sends, all of it or up to the fault, and how its body ends.
struct EngineAnswer
{
  std::string text;
  BodyFraming framing = BodyFraming::Chunked;
};

// Returns the fault of the last engine; those before it break off.
Fault FaultOf(const std::vector<EngineAnswer>& aEngines, std::optional<std::uint64_t> aLastEventId)
{
  StreamSequence sequence(aLastEventId);
  Fault fault;
  for (const EngineAnswer& engine : aEngines) {
    sequence.BeginEngine();
    EventSplitter events;
    events.Add(engine.text);
    fault.reset();
    for (std::optional<StreamEvent> event = events.Next(); event && !fault; event = events.Next()) {
      fault = sequence.Add(*event);
    }
    fault = fault ? fault : sequence.End(engine.framing, events.HasPartialEvent());
  }
  return fault;
}

std::string Ids(std::initializer_list<int> aIds)
{
  std::string text;
  for (const int id : aIds) {
    text += "id: " + std::to_string(id) + "\ndata: t\n\n";
  }
  return text;
}

// Returns that many bytes of comments and empty events.
std::string KeepAlive(std::size_t aBytes)
{
  const std::string comment = ":" + std::string(61, 'c') + "\n\n";
  std::string text;
  while (text.size() + comment.size() <= aBytes) {
    text += comment;
  }
  return text;
}

} // namespace

// Guards against streams that end as complete though events are due, and against text that is no
// event of the stream.
MASTICSTEP_TEST("one decision says for each engine what belongs to a stream and what ends it",
                "[relay][events][failure]")
{
  struct Case
  {
    std::vector<EngineAnswer> engines;
    std::optional<std::uint64_t> lastEventId;
    Fault expected;
  };
  constexpr std::size_t kMost = StreamSequence::kMaximumBytesWithoutData;
  constexpr BodyFraming kClose = BodyFraming::UntilClose;
  constexpr BodyFraming kLength = BodyFraming::Length;
  const std::vector<Case> cases{
    // The only engine.
    { { { Ids({ 1, 2 }) } }, {}, {} },
    { { { Ids({ 1, 2 }), kClose } }, {}, {} },
    { { { Ids({ 1, 2 }), kLength } }, {}, {} },
    { { { Ids({ 1, 4, 9 }) } }, {}, {} },
    { { { ": ping\n\n" + Ids({ 1 }) + "retry: 5\n\n" } }, {}, {} },
    { { { "weight-versions: 2\n" + Ids({ 1 }) } }, {}, {} },
    { { { "" } }, {}, StreamFault::NoEvent },
    { { { ": ping\n\n" } }, {}, StreamFault::NoEvent },
    { { { Ids({ 1 }) + "id: 2\nda", kClose } }, {}, StreamFault::PartialEvent },
    { { { Ids({ 1, 2, 2 }) } }, {}, StreamFault::NotAfterLast },
    { { { Ids({ 1 }) + "data: error\n\n" } }, {}, StreamFault::EventWithoutId },
    { { { "HTTP/1.1 500 X\r\nDate: now\r\n\r\n" } }, {}, StreamFault::NotAnEvent },
    { { { KeepAlive(kMost) + Ids({ 1 }) + KeepAlive(kMost) } }, {}, {} },
    { { { KeepAlive(kMost) + ":c\n\n" } }, {}, StreamFault::NoData },
    { { { Ids({ 1 }) + KeepAlive(kMost) + "retry: 1\n\n" } }, {}, StreamFault::NoData },
    { { { KeepAlive(kMost) }, { KeepAlive(kMost) + Ids({ 1 }) } }, {}, {} },
    // The caller takes the stream up.
    { { { Ids({ 4, 5 }) } }, 3, {} },
    { { { Ids({ 9 }) } }, 3, {} },
    { { { "" } }, 3, {} },
    { { { ": ping\n\n" } }, 3, {} },
    { { { "", kLength } }, 3, StreamFault::NoEvent },
    { { { "", kClose } }, 3, StreamFault::NoEvent },
    { { { Ids({ 1, 2 }) } }, 3, StreamFault::NotAfterLast },
    // An engine goes on with what another one has begun.
    { { { Ids({ 1, 2 }) }, { Ids({ 3 }) } }, {}, {} },
    { { { Ids({ 1, 2 }) }, { Ids({ 3 }), kClose } }, {}, {} },
    { { { Ids({ 1, 4 }) }, { Ids({ 9 }) } }, {}, {} },
    { { { Ids({ 1, 2 }) }, { "" } }, {}, {} },
    { { { Ids({ 1, 2 }) }, { "", kLength } }, {}, StreamFault::NoEvent },
    { { { Ids({ 1, 2 }) }, { "", kClose } }, {}, StreamFault::NoEvent },
    { { { "" }, { Ids({ 1 }) } }, {}, {} },
    { { { Ids({ 1, 2 }) }, { Ids({ 1 }) } }, {}, StreamFault::NotAfterLast },
    { { { Ids({ 1 }) }, { Ids({ 9 }) } }, {}, StreamFault::MissingEvents },
    { { { Ids({ 1, 2 }) }, { "", kClose }, { Ids({ 3 }) } }, {}, {} },
    { { { Ids({ 1, 2 }) }, { Ids({ 4 }) }, { Ids({ 3 }) } }, {}, {} },
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const Fault fault = FaultOf(cases[i].engines, cases[i].lastEventId);
    const std::string actual = fault ? ToString(*fault) : "complete";
    const std::string expected = cases[i].expected ? ToString(*cases[i].expected) : "complete";
    CHECK_EQUAL(std::to_string(i) + " " + expected, std::to_string(i) + " " + actual);
  }
}

MASTICSTEP_TEST("only a signed event stream with status 200 is relayed as a stream",
                "[relay][events][failure]")
{
  BackendResponseHead head;
  head.status = 200;
  head.isSigned = true;
  CHECK_TRUE(IsStream(head, {}));
  CHECK_TRUE(IsStream(head, { { "Content-Type", "Text/Event-Stream ; charset=utf-8" } }));
  CHECK_FALSE(IsStream(head, { { "Content-Type", "application/json" } }));
  for (const unsigned status : { 101U, 201U, 204U, 302U, 500U }) {
    BackendResponseHead other = head;
    other.status = status;
    CHECK_FALSE(IsStream(other, {}));
  }
  BackendResponseHead unsignedHead = head;
  unsignedHead.isSigned = false;
  CHECK_FALSE(IsStream(unsignedHead, {}));
  BackendResponseHead encoded = head;
  encoded.isEncoded = true;
  CHECK_FALSE(IsStream(encoded, {}));
}
