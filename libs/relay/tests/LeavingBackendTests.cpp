#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;
using Then = ScriptedResponse::Then;

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Adds the header that announces that the backend server leaves.
std::string Leaving(std::string aResponse)
{
  return aResponse.insert(aResponse.find("\r\n") + 2, "Leaving: 1\r\n");
}

ScriptedResponse AnswerPlain(const std::string& /*aRequest*/)
{
  return { SignedResponse(200, "done"), Then::KeepOpen };
}

ScriptedResponse AnswerPlainAndLeave(const std::string& /*aRequest*/)
{
  return { Leaving(SignedResponse(200, "done")), Then::KeepOpen };
}

ScriptedResponse AnswerPrefill(const std::string& /*aRequest*/)
{
  return { SignedResponse(200, "h1"), Then::KeepOpen };
}

ScriptedResponse AnswerWholeStream(const std::string& /*aRequest*/)
{
  return { StreamHead() + Events(1, 3) + StreamEnd(), Then::KeepOpen };
}

} // namespace

// Guards against accepted work that is lost when its server exits.
MASTICSTEP_TEST("a backend server that announces that it leaves gets no further request",
                "[relay][plain][leaving]")
{
  ScriptedBackend leaving(AnswerPlainAndLeave);
  ScriptedBackend other(AnswerPlain);
  RelayFixture fixture;
  fixture.Add("b1", "plain", leaving);
  fixture.Add("b2", "plain", other);
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(fixture.SendRequest("POST", "/once/").starts_with("HTTP/1.1 200"));
  }
  CHECK_EQUAL(std::size_t{ 1 }, leaving.Requests().size());
  CHECK_EQUAL(std::size_t{ 2 }, other.Requests().size());
}

// Guards against reading only the answers that run a request.
MASTICSTEP_TEST("a refusal that announces that the server leaves counts too",
                "[relay][plain][leaving]")
{
  ScriptedBackend leaving([](const std::string&) {
    return ScriptedResponse{ Leaving("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
                             Then::KeepOpen };
  });
  ScriptedBackend other(AnswerPlain);
  RelayFixture fixture;
  fixture.Add("b1", "plain", leaving);
  fixture.Add("b2", "plain", other);
  for (int i = 0; i < 3; ++i) {
    fixture.SendRequest("POST", "/again/");
  }
  CHECK_EQUAL(std::size_t{ 1 }, leaving.Requests().size());
}

// Guards against ending the server's streams, which it completes before it exits.
MASTICSTEP_TEST("a stream of an engine that leaves goes on, new streams begin at another one",
                "[relay][prompt][leaving]")
{
  ScriptedBackend prefillEngine(AnswerPrefill);
  ScriptedBackend leaving([](const std::string&) {
    return ScriptedResponse{ Leaving(StreamHead()) + Events(1, 3) + StreamEnd(), Then::KeepOpen };
  });
  ScriptedBackend other(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("r1", "llm", prefillEngine, Stage::Prefill);
  fixture.Add("w1", "llm", leaving, Stage::Decode);
  CHECK_TRUE(fixture.SendRequest("POST", "/stream/").ends_with("0\r\n\r\n"));
  fixture.Add("w2", "llm", other, Stage::Decode);
  for (int i = 0; i < 3; ++i) {
    CHECK_TRUE(fixture.SendRequest("POST", "/stream/").ends_with("0\r\n\r\n"));
  }
  CHECK_EQUAL(std::size_t{ 1 }, leaving.Requests().size());
  CHECK_EQUAL(std::size_t{ 3 }, other.Requests().size());
}

// Guards against discarding the KV cache that an engine has made before it exits.
MASTICSTEP_TEST("the KV cache of an engine that leaves is used, prompts go to another engine",
                "[relay][prompt][leaving]")
{
  ScriptedBackend leaving([](const std::string&) {
    return ScriptedResponse{ Leaving(SignedResponse(200, "h9")), Then::KeepOpen };
  });
  ScriptedBackend other(AnswerPrefill);
  ScriptedBackend decodeEngine(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("r1", "llm", leaving, Stage::Prefill);
  fixture.Add("w1", "llm", decodeEngine, Stage::Decode);
  CHECK_TRUE(fixture.SendRequest("POST", "/stream/").ends_with("0\r\n\r\n"));
  CHECK_TRUE(Contains(decodeEngine.Requests().at(0), "Source: h9"));
  fixture.Add("r2", "llm", other, Stage::Prefill);
  fixture.SendRequest("POST", "/stream/");
  CHECK_EQUAL(std::size_t{ 1 }, leaving.Requests().size());
  CHECK_EQUAL(std::size_t{ 1 }, other.Requests().size());
}

// Guards against taking a server out of service because of another server at its address.
MASTICSTEP_TEST("an answer of a server that is not the intended one announces nothing",
                "[relay][plain][leaving]")
{
  ScriptedBackend backend([](const std::string&) {
    return ScriptedResponse{ Leaving("HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
                             Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  fixture.SendRequest("POST", "/once/");
  fixture.SendRequest("POST", "/once/");
  CHECK_TRUE(backend.Requests().size() >= 2);
}
