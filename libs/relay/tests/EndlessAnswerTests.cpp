// Answers of backend servers in trouble that never end.
#include "FloodServer.hpp"
#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

#include <string>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;
using Then = ScriptedResponse::Then;

// Far more than the relay reads of an answer.
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

} // namespace

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
