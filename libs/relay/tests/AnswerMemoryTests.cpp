// Bytes that faulty backend servers make the relay hold, with many requests at once.
#include "FloodServer.hpp"
#include "RelayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <limits>
#include <thread>
#include <vector>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;

constexpr std::size_t kRequests = 250;
constexpr std::size_t kEngines = 40; // with 8 slots each, more than the requests need
constexpr std::size_t kEndless = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMegabyte = 1000000;
// The budget of 48 MiB, the parts that are always granted, and what the test itself holds.
constexpr std::size_t kMaximumGrowth = 90 * kMegabyte;
constexpr Duration kObservation = Milliseconds(2500);

std::size_t ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  file >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string HeadWithoutLength()
{
  return "HTTP/1.1 200 OK\r\nId: c1\r\nSigned: s\r\n\r\n";
}

// Callers that send one request each and read nothing.
std::vector<std::unique_ptr<net::RawClient>> SendToAll(const RelayFixture& aFixture,
                                                       const std::string& aPath)
{
  std::vector<std::unique_ptr<net::RawClient>> callers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    callers.push_back(aFixture.Connect());
    callers.back()->LimitReceiveBuffer();
    callers.back()->Send(RelayFixture::RequestText("POST", aPath));
  }
  return callers;
}

// Returns by how much the resident memory of the process grows while all requests run.
std::size_t GrowthOf(RelayFixture& aFixture, const std::string& aName, const std::string& aPath)
{
  const std::size_t before = ResidentBytes();
  const std::vector<std::unique_ptr<net::RawClient>> callers = SendToAll(aFixture, aPath);
  std::size_t largest = before;
  const Time end = net::Now() + kObservation;
  while (net::Now() < end) {
    largest = std::max(largest, ResidentBytes());
    std::this_thread::sleep_for(Milliseconds(10));
  }
  std::cout << aName << ": " << (largest - before) / kMegabyte << " MB more\n";
  return largest - before;
}

void AddEngines(RelayFixture& aFixture, const FloodServer& aServer, const std::string& aService,
                Stage aStage)
{
  for (std::size_t i = 0; i < kEngines; ++i) {
    aFixture.AddAt(aService + std::to_string(i), aService, aServer.Port(), aStage);
  }
}

// Takes what others have left of the budget and returns how much that was.
std::size_t TakeRest(net::ByteBudget& aBudget)
{
  constexpr std::size_t kStep = 1024;
  std::size_t taken = 0;
  while (aBudget.InUse() + kStep <= aBudget.Bound() && aBudget.TryTake(kStep)) {
    taken += kStep;
  }
  return taken;
}

std::size_t GrowthOfFlood(const std::string& aName, const std::string& aPath, const Flood& aFlood)
{
  const std::string service = aPath == "/once/" ? "plain" : "llm";
  FloodServer server([&aFlood](const std::string&) -> const Flood& { return aFlood; });
  RelayFixture fixture;
  AddEngines(fixture, server, service, Stage::Whole);
  return GrowthOf(fixture, aName, aPath);
}

} // namespace

// Guards against a daemon that is ended for its memory: each stream may hold an unfinished event,
// and nothing counted them together.
MASTICSTEP_TEST("unfinished events of many streams stay within the budget",
                "[relay][bounds][budget]")
{
  const Flood flood{ HeadWithoutLength() + "data: ", std::string(50000, 'x'), 18 };
  CHECK_TRUE(GrowthOfFlood("unfinished events", "/stream/", flood) < kMaximumGrowth);
}

MASTICSTEP_TEST("large events of many streams to slow callers stay within the budget",
                "[relay][bounds][budget]")
{
  const std::string event = "data: " + std::string(500000, 'x') + "\n\n";
  const Flood flood{ HeadWithoutLength(), event, kEndless };
  CHECK_TRUE(GrowthOfFlood("whole events", "/stream/", flood) < kMaximumGrowth);
}

MASTICSTEP_TEST("heads without end stay within the budget", "[relay][bounds][budget]")
{
  const Flood flood{ "HTTP/1.1 200 OK\r\nX: ", std::string(60000, 'x'), 1 };
  CHECK_TRUE(GrowthOfFlood("heads", "/once/", flood) < kMaximumGrowth);
}

MASTICSTEP_TEST("plain answers without end stay within the budget", "[relay][bounds][budget]")
{
  const Flood flood{ HeadWithoutLength(), std::string(50000, 'x'), kEndless };
  CHECK_TRUE(GrowthOfFlood("plain answers", "/once/", flood) < kMaximumGrowth);
}

MASTICSTEP_TEST("prefill answers without end stay within the budget", "[relay][bounds][budget]")
{
  const Flood flood{ HeadWithoutLength(), std::string(50000, 'x'), kEndless };
  FloodServer server([&flood](const std::string&) -> const Flood& { return flood; });
  RelayFixture fixture;
  AddEngines(fixture, server, "llm", Stage::Prefill);
  ScriptedBackend decodeEngine([](const std::string&) { return ScriptedResponse{}; });
  fixture.Add("w1", "llm", decodeEngine, Stage::Decode);
  CHECK_TRUE(GrowthOf(fixture, "prefill answers", "/stream/") < kMaximumGrowth);
}

MASTICSTEP_TEST("answers to releases of a KV cache stay within the budget",
                "[relay][bounds][budget]")
{
  const Flood handle{ SignedResponse(200, "h1"), {}, 0 };
  const Flood flood{ HeadWithoutLength(), std::string(50000, 'x'), kEndless };
  std::atomic<std::size_t> releases = 0;
  FloodServer server([&](const std::string& aRequest) -> const Flood& {
    const bool isRelease = aRequest.starts_with("DELETE");
    releases += isRelease ? 1 : 0;
    return isRelease ? flood : handle;
  });
  RelayFixture fixture;
  AddEngines(fixture, server, "llm", Stage::Prefill);
  fixture.AddUnreachable("w1", "llm", Stage::Decode);
  CHECK_TRUE(GrowthOf(fixture, "release answers", "/stream/") < kMaximumGrowth);
  CHECK_TRUE(releases >= kRequests);
}

// Guards against ordinary streams and answers that fail because those of faulty engines have used
// up the memory.
MASTICSTEP_TEST("ordinary answers succeed beside many streams without end",
                "[relay][bounds][budget]")
{
  constexpr int kOrdinary = 40;
  const Flood flood{ HeadWithoutLength() + "data: ", std::string(50000, 'x'), 18 };
  const Flood stream{ StreamHead() + Events(1, 4) + StreamEnd(), {}, 0 };
  const Flood answer{ SignedResponse(200, std::string(4000, 'y')), {}, 0 };
  FloodServer server([&](const std::string& aRequest) -> const Flood& {
    if (aRequest.starts_with("POST /stream/")) {
      return flood;
    }
    return aRequest.starts_with("POST /once/") ? answer : stream;
  });
  RelayFixture fixture;
  AddEngines(fixture, server, "llm", Stage::Whole);
  AddEngines(fixture, server, "plain", Stage::Whole);
  const std::vector<std::unique_ptr<net::RawClient>> callers = SendToAll(fixture, "/stream/");
  net::ByteBudget& budget = fixture.AnswerBytes();
  const Time end = net::Now() + kObservation;
  while (budget.InUse() < budget.Bound() / 2 && net::Now() < end) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  CHECK_TRUE(budget.InUse() >= budget.Bound() / 2);
  int streams = 0;
  int answers = 0;
  std::size_t taken = 0;
  for (int i = 0; i < kOrdinary; ++i) {
    taken += TakeRest(budget);
    const std::string text = fixture.SendRequest("POST", "/single/");
    const bool isWhole = text.find("data: t4\n\n") != std::string::npos;
    streams += isWhole && text.ends_with(StreamEnd()) ? 1 : 0;
    answers += fixture.SendRequest("POST", "/once/").ends_with("yyyy") ? 1 : 0;
  }
  CHECK_TRUE(budget.InUse() <= budget.Bound());
  budget.Return(taken);
  CHECK_EQUAL(kOrdinary, streams);
  CHECK_EQUAL(kOrdinary, answers);
}

// Guards against large events that are cut or changed where they are written without being copied.
MASTICSTEP_TEST("a large event arrives whole", "[relay][bounds][budget]")
{
  const std::string event = "id: 1\ndata: " + std::string(300000, 'x') + "\n\n";
  const Flood flood{ HeadWithoutLength() + event + "id: 2\ndata: t2\n\n", {}, 0 };
  FloodServer server([&flood](const std::string&) -> const Flood& { return flood; });
  RelayFixture fixture;
  AddEngines(fixture, server, "llm", Stage::Whole);
  const std::unique_ptr<net::RawClient> caller = fixture.Connect();
  caller->Send(RelayFixture::RequestText("POST", "/stream/"));
  const std::string text = caller->ReadUntil("data: t2\n\n");
  CHECK_TRUE(text.find(event) != std::string::npos);
}
