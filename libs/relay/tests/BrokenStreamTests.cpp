#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using Then = ScriptedResponse::Then;

const std::string kSignedHead = "HTTP/1.1 200 OK\r\nId: c1\r\nSigned: s\r\n";

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: t" + std::to_string(aId) + "\n\n";
}

std::string Body(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

// Guards against a stream that ends as if it were complete, or holds the text of an error, after
// its engine broke off and the next one answered with something other than the rest.
MASTICSTEP_TEST("a broken stream is left without its end unless an engine sends the rest",
                "[relay][prompt][failure]")
{
  const std::string jsonError = "{\"error\":\"x\"}\n\n";
  const std::vector<ScriptedResponse> notTheRest{
    { "HTTP/1.1 204 X\r\nId: c1\r\nSigned: s\r\n\r\n" },
    { "HTTP/1.1 206 X\r\nId: c1\r\nSigned: s\r\n" + Body(Event(3)) },
    { SignedResponse(500, "error text") },
    { kSignedHead + "Content-Type: application/json\r\n" + Body(jsonError) },
    { kSignedHead + Body("") },
    { kSignedHead + Body(": ping\n\n") },
    { kSignedHead + "\r\n", Then::Close },
    { kSignedHead + "\r\n" + Event(3) + "id: 4\ndat", Then::Close },
    { kSignedHead + "\r\n" + Event(3), Then::Reset },
    { StreamHead(), Then::Close },
    { StreamHead() + Events(1, 1) + StreamEnd() },
    { StreamHead() + Events(9, 9) + StreamEnd() },
    { kSignedHead + Body("data: error text\n\n") },
    { kSignedHead + Body("HTTP/1.1 500 X\r\nDate: now\r\n\r\n") },
  };
  for (std::size_t i = 0; i < notTheRest.size(); ++i) {
    ScriptedBackend breaking([](const std::string&) {
      return ScriptedResponse{ StreamHead() + Events(1, 2) + "9\r\nid: 3\ndat\r\n", Then::Close };
    });
    ScriptedBackend next([&](const std::string&) { return notTheRest[i]; });
    RelayFixture fixture;
    fixture.Add("e1", "llm", breaking);
    fixture.Add("e2", "llm", next);
    const std::string answer = fixture.SendRequest("POST", "/resume/");
    const std::string label = std::to_string(i) + " ";
    CHECK_EQUAL(label + "1", label + std::to_string(next.Requests().size()));
    CHECK_EQUAL(label + "cut", label + (answer.ends_with("0\r\n\r\n") ? "ended" : "cut"));
    const bool hasError = answer.find("error") != answer.npos || answer.find("500") != answer.npos;
    CHECK_EQUAL(label + "no error", label + (hasError ? "error" : "no error"));
    CHECK_EQUAL(answer.find("HTTP/1.1"), answer.rfind("HTTP/1.1"));
  }
}

// Guards against refusing the rest of a stream for the way in which its body ends, and against a
// cut of a stream whose engine paused after the last event, before the end.
MASTICSTEP_TEST("a broken stream ends with the rest that the next engine sends",
                "[relay][prompt][failure]")
{
  const std::vector<std::pair<ScriptedResponse, std::string>> rests{
    { { StreamHead() + Events(3, 4) + StreamEnd() }, "id: 4\n" },
    { { kSignedHead + "Content-Type: text/event-stream\r\n" + Body(Event(3) + Event(4)) },
      "id: 4\n" },
    { { kSignedHead + "\r\n" + Event(3) + Event(4), Then::Close }, "id: 4\n" },
    { { StreamHead() + StreamEnd() }, "id: 2\n" },
  };
  for (const auto& [rest, last] : rests) {
    ScriptedBackend breaking([](const std::string&) {
      return ScriptedResponse{ StreamHead() + Events(1, 2), Then::Reset };
    });
    ScriptedBackend next([rest = rest](const std::string&) { return rest; });
    RelayFixture fixture;
    fixture.Add("e1", "llm", breaking);
    fixture.Add("e2", "llm", next);
    const std::string answer = fixture.SendRequest("POST", "/resume/");
    CHECK_TRUE(answer.find(last) != answer.npos && answer.ends_with("0\r\n\r\n"));
    CHECK_EQUAL(std::size_t{ 1 }, next.Requests().size());
  }
}
