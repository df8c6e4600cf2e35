#include "CacheEventReader.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

std::string EventsBody(std::uint64_t aNext, const std::vector<std::uint64_t>& aSequences)
{
  std::string events;
  for (const std::uint64_t n : aSequences) {
    events += std::string(events.empty() ? "" : ",") + R"({"sequence":)" + std::to_string(n) +
              R"(,"kind":"stored","hash":"fedcba9876543210"})";
  }
  return R"({"next":)" + std::to_string(aNext) + R"(,"events":[)" + events + "]}";
}

std::vector<std::uint64_t> ParseSequences(CacheEventReader& aReader, const std::string& aBody)
{
  std::vector<std::uint64_t> numbers;
  const std::optional<std::vector<EngineCacheEvent>> events = aReader.Parse(aBody, aReader.After());
  CPPUNIT_ASSERT(events.has_value());
  for (const EngineCacheEvent& event : *events) {
    numbers.push_back(event.sequence);
  }
  return numbers;
}

using Sequences = std::vector<std::uint64_t>;

} // namespace

// Guards against counting events twice, and against event loss that the router cannot detect.
MASTICSTEP_TEST("cache events keep gaps in their numbers and are returned once", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE((Sequences{ 1, 2, 4 }) == ParseSequences(reader, EventsBody(4, { 1, 2, 4 })));
  CHECK_EQUAL(4U, reader.After());
  CHECK_TRUE((Sequences{ 7 }) == ParseSequences(reader, EventsBody(7, { 2, 4, 7 })));
  CHECK_TRUE(ParseSequences(reader, EventsBody(7, {})).empty());
  const std::vector<EngineCacheEvent> events = *reader.Parse(EventsBody(8, { 8 }), 7);
  const EngineCacheEvent expected{ EngineId("engine-1"), 8, true, 0xfedcba9876543210U };
  CHECK_TRUE(expected == events.at(0));
}

// Guards against ignoring the events of a restarted engine until it has published as many as
// before, and against relying on the cache contents of its previous run.
MASTICSTEP_TEST("an engine restart appears as a gap in the cache events", "[gateway][cache]")
{
  CacheEventReader byReport(EngineId("engine-1"));
  byReport.OnLoadReport(500);
  CHECK_TRUE((Sequences{ 900 }) == ParseSequences(byReport, EventsBody(900, { 900 })));
  byReport.OnLoadReport(499);
  CHECK_EQUAL(900U, byReport.After());
  byReport.OnLoadReport(1);
  CHECK_EQUAL(0U, byReport.After());
  CHECK_TRUE((Sequences{ 902, 903 }) == ParseSequences(byReport, EventsBody(2, { 1, 2 })));

  CacheEventReader byNext(EngineId("engine-1"));
  CHECK_TRUE((Sequences{ 900 }) == ParseSequences(byNext, EventsBody(900, { 900 })));
  CHECK_TRUE(ParseSequences(byNext, EventsBody(3, {})).empty());
  CHECK_TRUE((Sequences{ 902 }) == ParseSequences(byNext, EventsBody(3, { 1 })));
}

// Guards against mistaking a late response of an overlapping poll for a restart.
MASTICSTEP_TEST("a response to an earlier request does not count as a restart", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE((Sequences{ 1, 2 }) == ParseSequences(reader, EventsBody(2, { 1, 2 })));
  CHECK_TRUE(reader.Parse(EventsBody(0, {}), 0)->empty());
  CHECK_EQUAL(2U, reader.After());
}

// Guards against never reading the events of an engine again after a long pause, because all
// responses exceed the size limit.
MASTICSTEP_TEST("events of an oversized response are skipped", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  reader.SkipEvents();
  CHECK_EQUAL(1000U, reader.After());
  CHECK_TRUE((Sequences{ 1001 }) == ParseSequences(reader, EventsBody(1001, { 1000, 1001 })));
}

// Guards against malformed responses that crash the daemon or count as events.
MASTICSTEP_TEST("malformed cache event responses are rejected", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE(!reader.Parse("", 0));
  CHECK_TRUE(!reader.Parse(R"({"next":1})", 0));
  CHECK_TRUE(!reader.Parse(R"({"events":[]})", 0));
  CHECK_TRUE(ParseSequences(reader, R"({"next":2,"events":[7,{"sequence":1,"kind":"x","hash":"0"},
    {"sequence":2,"kind":"stored","hash":"zz"}]})")
               .empty());
  CHECK_EQUAL(0U, reader.After());
}
