#include "ServiceSummaries.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

std::string ServerText(const std::string& aName, const std::string& aDataCentre)
{
  return R"({"name":")" + aName + R"(","url":"http://127.0.0.1:1","region":"r","data_centre":")" +
         aDataCentre + R"("})";
}

// Service with engine "a" in this data centre and "b" and "c" in another.
ConfigurationPointer TwoDataCentres()
{
  const std::string text =
    R"({"service":"drafting","kind":"model","model":"m","adapters":[],"version":"1",
      "classes":[{"name":"counter","deadline_ms":30000,"first_token_ms":1100,
      "between_tokens_ms":67,"priority":1,"queue_limit":8}],"backend_servers":[)" +
    ServerText("a", "near") + "," + ServerText("b", "far") + "," + ServerText("c", "far") + "]}";
  Result<Configuration, Faults> created = Configuration::Create(1, { { "m.service.json", text } });
  CPPUNIT_ASSERT_MESSAGE(created ? "" : ToString(created.error().front()), created.has_value());
  return std::make_shared<const Configuration>(std::move(*created));
}

Settings NearSettings()
{
  Settings settings;
  settings.host = HostName("host");
  settings.region = RegionName("r");
  settings.dataCentre = DataCentreName("near");
  return settings;
}

Entry EntryOf(const std::string& aDataCentre, std::uint64_t aVersion, const ServiceSummary& aValue)
{
  Entry entry;
  entry.key = { EntryKind::ServiceSummary, "drafting/" + aDataCentre };
  entry.owner = HostName("other");
  entry.version = aVersion;
  entry.value = Encode(aValue);
  return entry;
}

ServiceSummary Summary(std::uint32_t aUsable, std::set<EngineId> aUnusable)
{
  ServiceSummary summary;
  summary.usable = aUsable;
  summary.blocksTotal = 2000 * aUsable;
  summary.unusable = std::move(aUnusable);
  return summary;
}

// Returns the engines chosen for 20 consecutive requests; "none" if no engine was chosen.
std::set<std::string> ChosenEngines(GatewayParts& aParts, std::uint64_t aFirstId)
{
  std::set<std::string> chosen;
  for (std::uint64_t id = aFirstId; id < aFirstId + 20; ++id) {
    EngineQuery query;
    query.id = RequestId{ id };
    query.service = ServiceName("drafting");
    query.className = ClassName("counter");
    query.promptTokens = 10;
    query.maxTokens = 4;
    query.arrived = net::Now();
    query.deadline = query.arrived + Seconds(30);
    const Result<EngineId, SelectionFailure> engine = aParts.engines->Choose(query, query.arrived);
    chosen.insert(engine ? engine->Text() : "none");
    aParts.engines->OnFailed(query.id, EngineFailure::Cancelled, net::Now());
  }
  return chosen;
}

using EngineNames = std::set<std::string>;

} // namespace

// Guards against rejecting requests in a data centre whose engines are all down, and against
// sending requests to engines that their own data centre reports as unusable.
MASTICSTEP_TEST("without local engines a daemon uses the usable engines of a summary",
                "[gateway][summary]")
{
  GatewayParts parts(NearSettings(), 1);
  parts.Apply(TwoDataCentres(), net::Now());
  parts.engines->OnUnreachable(EngineId("a"), net::Now());
  CHECK_TRUE((EngineNames{ "b", "c" }) == ChosenEngines(parts, 1));
  OnSummaryEntry(parts, EntryOf("far", 1, Summary(1, { EngineId("b") })));
  CHECK_TRUE((EngineNames{ "c" }) == ChosenEngines(parts, 100));
  OnSummaryEntry(parts, EntryOf("far", 2, Summary(1, { EngineId("c") })));
  CHECK_TRUE((EngineNames{ "b" }) == ChosenEngines(parts, 200));
  OnSummaryEntry(parts, EntryOf("far", 3, Summary(0, { EngineId("b"), EngineId("c") })));
  CHECK_TRUE((EngineNames{ "none" }) == ChosenEngines(parts, 300));
  OnSummaryEntry(parts, EntryOf("far", 4, Summary(2, {})));
  CHECK_TRUE((EngineNames{ "b", "c" }) == ChosenEngines(parts, 400));
}

// Guards against replacing the load polled in this data centre by a remote or outdated view.
MASTICSTEP_TEST("summaries of the local data centre and stale summaries are ignored",
                "[gateway][summary]")
{
  GatewayParts parts(NearSettings(), 1);
  parts.Apply(TwoDataCentres(), net::Now());
  OnSummaryEntry(parts, EntryOf("near", 1, Summary(0, { EngineId("a") })));
  Entry stale = EntryOf("far", 1, Summary(0, { EngineId("b"), EngineId("c") }));
  stale.age = Seconds(16);
  OnSummaryEntry(parts, stale);
  for (const EngineStatus& status : parts.engines->Status(net::Now())) {
    CHECK_EQUAL(std::string("ready"), status.state);
  }
}

// Guards against sums that include engines that accept no work or belong to another data centre.
MASTICSTEP_TEST("a summary sums the usable engines of its data centre", "[gateway][summary]")
{
  const ConfigurationPointer configuration = TwoDataCentres();
  const Service& service = configuration->Services().front();
  EngineLoadValue ready;
  ready.running = 3;
  ready.waiting = 1;
  ready.kvBlocksUsed = 500;
  ready.kvBlocksTotal = 2000;
  const LoadLookup onlyB = [&ready](const EngineId& aEngine) {
    return aEngine == EngineId("c") ? std::nullopt : std::optional<EngineLoadValue>(ready);
  };
  const ServiceSummary expected{ 1, 3, 1, 500, 2000, { EngineId("c") } };
  CHECK_TRUE(expected == Summarize(service, DataCentreName("far"), onlyB));
  ready.state = 1;
  CHECK_EQUAL(0U, Summarize(service, DataCentreName("near"), onlyB).usable);
  CHECK_TRUE(expected == DecodeServiceSummary(Encode(expected)));
  for (const char* text : { "", "1", "1,2,3,4", "1,2,3,4,x", "1,2,3,4,5,6", "-1,2,3,4,5" }) {
    CHECK_TRUE(!DecodeServiceSummary(text));
  }
}
