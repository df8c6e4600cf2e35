#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

#include <thread>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

const std::string kPaused =
  "HTTP/1.1 503 X\r\nId: c1\r\nNot-Run: 1\r\nRetry-After: 0.6\r\nContent-Length: 0\r\n\r\n";
constexpr Duration kPause = Milliseconds(600);

} // namespace

// Guards against callers that are held, or told to come back too early, while no server of the
// service wants requests.
MASTICSTEP_TEST("while no server wants requests callers are told when one does", "[relay][pause]")
{
  bool isPaused = true;
  ScriptedBackend backend([&isPaused](const std::string&) {
    return ScriptedResponse{ isPaused ? kPaused : SignedResponse(200, "done") };
  });
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  for (int i = 0; i < 2; ++i) {
    const std::string answer = fixture.SendRequest("POST", "/again/");
    CHECK_TRUE(answer.starts_with("HTTP/1.1 503"));
    const std::size_t value = answer.find("Retry-After: ");
    CHECK_TRUE(value != answer.npos && std::stod(answer.substr(value + 13)) >= 0.5);
  }
  CHECK_EQUAL(std::size_t{ 1 }, backend.Requests().size());
  isPaused = false;
  std::this_thread::sleep_for(kPause);
  CHECK_TRUE(fixture.SendRequest("POST", "/again/").starts_with("HTTP/1.1 200"));
}
