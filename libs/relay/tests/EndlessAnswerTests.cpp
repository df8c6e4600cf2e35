// Answers of backend servers in trouble that never end.
#include "FloodServer.hpp"
#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

#include <string>
#include <vector>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;
using Then = ScriptedResponse::Then;

// Few enough that no read waits for the others beyond its time limit.
constexpr std::size_t kCallers = 4;
constexpr int kEngines = 2;
// Far more than the relay can read before the timeouts of these tests. An answer of which all of it
// was taken did not end at its timeout.
constexpr std::size_t kFloodBytes = 512 * 1024 * 1024;

std::string Head(const std::string& aFraming)
{
  return "HTTP/1.1 200 OK\r\nId: c1\r\nSigned: s\r\n" + aFraming + "\r\n";
}

Flood MakeFlood(std::string aBegin, const std::string& aRepeated)
{
  Flood flood{ std::move(aBegin), {}, 0 };
  constexpr std::size_t kPartBytes = 65536;
  while (flood.part.size() < kPartBytes) {
    flood.part += aRepeated;
  }
  flood.parts = kFloodBytes / flood.part.size();
  return flood;
}

// Sends as many requests at once as there are callers; returns how many were answered with 504.
std::size_t CountTimeouts(const RelayFixture& aFixture, const std::string& aPath)
{
  std::vector<std::unique_ptr<net::RawClient>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(aFixture.Connect());
    callers.back()->Send(RelayFixture::RequestText("POST", aPath));
  }
  std::size_t n = 0;
  for (const std::unique_ptr<net::RawClient>& caller : callers) {
    n += caller->ReadUntilClosed().starts_with("HTTP/1.1 504") ? 1 : 0;
  }
  return n;
}

} // namespace

// Guards against requests that last beyond their route's timeout because each read of the answer
// finds bytes at once, also where few of these bytes belong to the body.
MASTICSTEP_TEST(
  "requests whose answers have no end are answered when their route's timeout expires",
  "[relay][failure][endless]")
{
  const std::string extension = ";x=" + std::string(500, 'y');
  const std::string head = Head("Transfer-Encoding: chunked\r\n");
  const Flood plain = MakeFlood(head, "1" + extension + "\r\nz\r\n");
  const Flood stream = MakeFlood(head + "5\r\nid: 1\r\n", "1" + extension + "\r\nz\r\n");
  FloodServer server([&](const std::string& aRequest) -> const Flood& {
    return aRequest.starts_with("POST /soon/") ? plain : stream;
  });
  RelayFixture fixture;
  fixture.AddAt("b1", "plain", server.Port(), Stage::Whole);
  for (int i = 0; i < kEngines; ++i) {
    fixture.AddAt("e" + std::to_string(i), "llm", server.Port(), Stage::Whole);
  }
  CHECK_EQUAL(kCallers, CountTimeouts(fixture, "/soon/"));
  CHECK_EQUAL(std::size_t{ 0 }, server.Whole());
  CHECK_EQUAL(kCallers, CountTimeouts(fixture, "/brief/"));
  CHECK_EQUAL(std::size_t{ 0 }, server.Whole());
}

// Guards against a daemon that is kept busy by lines without data, which every engine may send now
// and then to keep a connection open: the work must not grow with the square of their number, and
// the stream goes on at a sound engine.
MASTICSTEP_TEST("an engine that sends no data but bytes without end is given up",
                "[relay][prompt][failure][endless]")
{
  constexpr std::size_t kMaximumPassedOn = 1048576;
  for (const std::string lines : { "\n", "\r\n", ":c\n\n", "retry: 1\n\n" }) {
    const Flood flood = MakeFlood(Head(""), lines);
    FloodServer endless([&flood](const std::string&) -> const Flood& { return flood; });
    ScriptedBackend sound([](const std::string&) {
      return ScriptedResponse{ StreamHead() + Events(1, 3) + StreamEnd(), Then::KeepOpen };
    });
    RelayFixture fixture;
    fixture.AddAt("e1", "llm", endless.Port(), Stage::Whole);
    fixture.Add("e2", "llm", sound);
    const std::string answer = fixture.SendRequest("POST", "/resume/");
    CHECK_TRUE(answer.size() < kMaximumPassedOn);
    CHECK_TRUE(answer.find("data: t3") != std::string::npos);
    CHECK_TRUE(answer.ends_with("0\r\n\r\n"));
  }
}
