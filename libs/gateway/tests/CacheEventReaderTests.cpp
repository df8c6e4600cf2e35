#include "CacheEventReader.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

std::string Answer(std::uint64_t aNext, const std::vector<std::uint64_t>& aSequences)
{
  std::string events;
  for (const std::uint64_t n : aSequences) {
    events += std::string(events.empty() ? "" : ",") + R"({"sequence":)" + std::to_string(n) +
              R"(,"kind":"stored","hash":"fedcba9876543210"})";
  }
  return R"({"next":)" + std::to_string(aNext) + R"(,"events":[)" + events + "]}";
}

std::vector<std::uint64_t> Numbers(CacheEventReader& aReader, const std::string& aBody)
{
  std::vector<std::uint64_t> numbers;
  const std::optional<std::vector<EngineCacheEvent>> events = aReader.Read(aBody, aReader.After());
  CPPUNIT_ASSERT(events.has_value());
  for (const EngineCacheEvent& event : *events) {
    numbers.push_back(event.sequence);
  }
  return numbers;
}

using List = std::vector<std::uint64_t>;

} // namespace

// Guards against events that count twice, and against lost events that the router cannot notice.
MASTICSTEP_TEST("cache events keep their gaps and are returned once", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE((List{ 1, 2, 4 }) == Numbers(reader, Answer(4, { 1, 2, 4 })));
  CHECK_EQUAL(4U, reader.After());
  CHECK_TRUE((List{ 7 }) == Numbers(reader, Answer(7, { 2, 4, 7 })));
  CHECK_TRUE(Numbers(reader, Answer(7, {})).empty());
  const std::vector<EngineCacheEvent> events = *reader.Read(Answer(8, { 8 }), 7);
  const EngineCacheEvent expected{ EngineId("engine-1"), 8, true, 0xfedcba9876543210U };
  CHECK_TRUE(expected == events.at(0));
}

// Guards against a restarted engine whose events are ignored until it has published as many as
// before, and against trusting the cache of its earlier run.
MASTICSTEP_TEST("a restarted engine shows as a gap in its cache events", "[gateway][cache]")
{
  CacheEventReader byReport(EngineId("engine-1"));
  byReport.OnLoadReport(500);
  CHECK_TRUE((List{ 900 }) == Numbers(byReport, Answer(900, { 900 })));
  byReport.OnLoadReport(499);
  CHECK_EQUAL(900U, byReport.After());
  byReport.OnLoadReport(1);
  CHECK_EQUAL(0U, byReport.After());
  CHECK_TRUE((List{ 902, 903 }) == Numbers(byReport, Answer(2, { 1, 2 })));

  CacheEventReader byNext(EngineId("engine-1"));
  CHECK_TRUE((List{ 900 }) == Numbers(byNext, Answer(900, { 900 })));
  CHECK_TRUE(Numbers(byNext, Answer(3, {})).empty());
  CHECK_TRUE((List{ 902 }) == Numbers(byNext, Answer(3, { 1 })));
}

// Guards against a late answer of an overlapping poll that is taken for a restart.
MASTICSTEP_TEST("an answer to an earlier question is no restart", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE((List{ 1, 2 }) == Numbers(reader, Answer(2, { 1, 2 })));
  CHECK_TRUE(reader.Read(Answer(0, {}), 0)->empty());
  CHECK_EQUAL(2U, reader.After());
}

// Guards against an engine whose events are never read again after a long pause.
MASTICSTEP_TEST("too large an answer is passed over", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  reader.SkipEvents();
  CHECK_EQUAL(1000U, reader.After());
  CHECK_TRUE((List{ 1001 }) == Numbers(reader, Answer(1001, { 1000, 1001 })));
}

// Guards against broken answers that stop the daemon or count as events.
MASTICSTEP_TEST("answers that are no cache events are refused", "[gateway][cache]")
{
  CacheEventReader reader(EngineId("engine-1"));
  CHECK_TRUE(!reader.Read("", 0));
  CHECK_TRUE(!reader.Read(R"({"next":1})", 0));
  CHECK_TRUE(!reader.Read(R"({"events":[]})", 0));
  CHECK_TRUE(Numbers(reader, R"({"next":2,"events":[7,{"sequence":1,"kind":"x","hash":"0"},
    {"sequence":2,"kind":"stored","hash":"zz"}]})")
               .empty());
  CHECK_EQUAL(0U, reader.After());
}
