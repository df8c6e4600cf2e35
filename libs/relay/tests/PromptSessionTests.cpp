#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;
using Then = ScriptedResponse::Then;

const std::string kNotExecutedResponse =
  "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Engine that reads promptQueue and hands out the handle "h1".
ScriptedResponse AnswerPrefill(const std::string& /*aRequest*/)
{
  return { SignedResponse(200, "h1"), Then::KeepOpen };
}

ScriptedResponse AnswerWholeStream(const std::string& /*aRequest*/)
{
  return { StreamHead() + Events(1, 3) + StreamEnd(), Then::KeepOpen };
}

} // namespace

MASTICSTEP_TEST("one engine reads the prompt and another one writes the answer", "[relay][prompt]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  const std::string answer = fixture.SendRequest("POST", "/stream/");
  CHECK_TRUE(Contains(reader.Requests().at(0), "Read-Only: 1"));
  CHECK_TRUE(Contains(writer.Requests().at(0), "Source: h1"));
  CHECK_TRUE(Contains(answer, "data: t1") && Contains(answer, "data: t3"));
  CHECK_TRUE(answer.ends_with("0\r\n\r\n"));
}

// Guards against a stream that looks complete although its engine broke off, and against half an
// event.
MASTICSTEP_TEST("a stream that may not be resumed ends without its end when its engine breaks off",
                "[relay][prompt][failure]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer([](const std::string&) {
    return ScriptedResponse{ StreamHead() + Events(1, 2) + "9\r\nid: 3\ndat\r\n", Then::Close };
  });
  ScriptedBackend other(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  fixture.Add("w2", "llm", other, Stage::Decode);
  const std::string answer = fixture.SendRequest("POST", "/stream/");
  CHECK_TRUE(Contains(answer, "data: t2"));
  CHECK_FALSE(Contains(answer, "id: 3"));
  CHECK_FALSE(Contains(answer, "\r\n0\r\n"));
  CHECK_TRUE(other.Requests().empty());
}

MASTICSTEP_TEST("a resumable stream goes on at another engine after the last whole event",
                "[relay][prompt][failure]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer([](const std::string&) {
    return ScriptedResponse{ StreamHead() + Events(1, 2) + "9\r\nid: 3\ndat\r\n", Then::Close };
  });
  ScriptedBackend other([](const std::string&) {
    return ScriptedResponse{ StreamHead() + Events(3, 4) + StreamEnd(), Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  fixture.Add("w2", "llm", other, Stage::Decode);
  const std::string answer = fixture.SendRequest("POST", "/resume/");
  CHECK_TRUE(Contains(other.Requests().at(0), "Resume-After: 2"));
  for (int id = 1; id <= 4; ++id) {
    const std::string event = "id: " + std::to_string(id) + "\n";
    CHECK_TRUE(Contains(answer, event));
    CHECK_EQUAL(answer.find(event), answer.rfind(event));
  }
  CHECK_TRUE(answer.ends_with("0\r\n\r\n"));
}

// Guards against running a prompt's answer twice: it may run after a reset.
MASTICSTEP_TEST("a stream that may not be resumed is not sent again after a reset",
                "[relay][prompt][failure]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer([](const std::string&) { return ScriptedResponse{ "", Then::Reset }; });
  ScriptedBackend other(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  fixture.Add("w2", "llm", other, Stage::Decode);
  CHECK_TRUE(fixture.SendRequest("POST", "/stream/").starts_with("HTTP/1.1 502"));
  CHECK_TRUE(other.Requests().empty());
}

// Answers memory that cannot be moved: the prompt has not run and is read elsewhere.
MASTICSTEP_TEST("memory that two engines could not take over is read again elsewhere",
                "[relay][prompt][failure]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend otherReader([](const std::string&) {
    return ScriptedResponse{ SignedResponse(200, "h2"), Then::KeepOpen };
  });
  const ScriptedBackend::Script onlySecond = [](const std::string& aRequest) {
    return Contains(aRequest, "Source: h2")
             ? ScriptedResponse{ StreamHead() + Events(1, 3) + StreamEnd(), Then::KeepOpen }
             : ScriptedResponse{ kNotExecutedResponse, Then::KeepOpen };
  };
  ScriptedBackend writer(onlySecond);
  ScriptedBackend otherWriter(onlySecond);
  ScriptedBackend thirdWriter(onlySecond);
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  fixture.Add("w2", "llm", otherWriter, Stage::Decode);
  fixture.Add("r2", "llm", otherReader, Stage::Prefill);
  fixture.Add("w3", "llm", thirdWriter, Stage::Decode);
  CHECK_TRUE(Contains(fixture.SendRequest("POST", "/stream/"), "data: t3"));
  CHECK_EQUAL(std::size_t{ 1 }, otherReader.Requests().size());
}

MASTICSTEP_TEST("a prompt that no engine can read is refused at once", "[relay][prompt][failure]")
{
  RelayFixture fixture;
  const std::string answer = fixture.SendRequest("POST", "/stream/");
  CHECK_TRUE(answer.starts_with("HTTP/1.1 503"));
  CHECK_TRUE(Contains(answer, "Retry-After: "));
}

// Guards against engines that work for callers who have left.
MASTICSTEP_TEST("an engine's connection is closed when the caller leaves",
                "[relay][prompt][cancel]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer([](const std::string&) {
    return ScriptedResponse{ StreamHead() + Events(1, 1), Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  const std::unique_ptr<net::RawClient> client = fixture.Connect();
  client->Send(RelayFixture::RequestText("POST", "/stream/"));
  client->ReadUntil("data: t1");
  client->Close();
  writer.WaitForClose();
}

// Guards against a refusal although engines are free: engines that went dark at the same time used
// up the tries of a prompt without having seen it.
MASTICSTEP_TEST("engines that take no connection do not use up the tries of a prompt",
                "[relay][prompt][failure]")
{
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer(AnswerWholeStream);
  RelayFixture fixture;
  for (const char* id : { "dark-1", "dark-2", "dark-3" }) {
    fixture.AddUnreachable(id, "llm", Stage::Prefill);
  }
  fixture.AddUnreachable("dark-4", "llm", Stage::Decode);
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  const std::string answer = fixture.SendRequest("POST", "/stream/");
  CHECK_TRUE(Contains(answer, "data: t3") && answer.ends_with("0\r\n\r\n"));
}

// Guards against the same when the prompt is read and only its answer finds no engine at once.
MASTICSTEP_TEST("a prompt that was read goes on to another engine that can answer",
                "[relay][prompt][failure]")
{
  ScriptedBackend refusing([](const std::string&) {
    return ScriptedResponse{ kNotExecutedResponse, Then::KeepOpen };
  });
  ScriptedBackend reader(AnswerPrefill);
  ScriptedBackend writer(AnswerWholeStream);
  RelayFixture fixture;
  fixture.Add("full-1", "llm", refusing, Stage::Prefill);
  fixture.Add("full-2", "llm", refusing, Stage::Prefill);
  fixture.AddUnreachable("dark", "llm", Stage::Decode);
  fixture.Add("r1", "llm", reader, Stage::Prefill);
  fixture.Add("w1", "llm", writer, Stage::Decode);
  const std::string answer = fixture.SendRequest("POST", "/stream/");
  CHECK_TRUE(Contains(answer, "data: t3") && answer.ends_with("0\r\n\r\n"));
}
