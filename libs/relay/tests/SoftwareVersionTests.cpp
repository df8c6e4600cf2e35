#include "RelayFixture.hpp"
#include "masticstep/dispatch/Route.hpp"
#include "masticstep/testing/Test.hpp"

#include <atomic>
#include <memory>
#include <thread>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::Stage;
using Then = ScriptedResponse::Then;

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

ScriptedBackend::Script Always(ScriptedResponse aResponse)
{
  return [aResponse = std::move(aResponse)](const std::string&) { return aResponse; };
}

ScriptedResponse WholeStream(int aFrom, int aTo)
{
  return { StreamHead() + Events(aFrom, aTo) + StreamEnd() };
}

// Engine that reads a prompt, or writes events to the end of the answer.
ScriptedResponse ReadOrWrite(const std::string& aRequest)
{
  return Contains(aRequest, "Read-Only: 1") ? ScriptedResponse{ SignedResponse(200, "h1") }
                                            : WholeStream(3, 4);
}

} // namespace

// Guards against an answer whose events come from engines of two software versions.
MASTICSTEP_TEST("a broken stream goes on only at an engine of its software version",
                "[relay][version]")
{
  ScriptedBackend breaking(Always({ StreamHead() + Events(1, 2), Then::Close }));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  ScriptedBackend same(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", breaking, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  fixture.Add("e3", "llm", same, Stage::Whole, "v1");
  const std::string answer = fixture.SendRequest("POST", "/resume/");
  CHECK_TRUE(Contains(answer, "id: 4\n") && answer.ends_with("0\r\n\r\n"));
  CHECK_TRUE(newer.Requests().empty());
  CHECK_EQUAL(std::size_t{ 1 }, same.Requests().size());
}

MASTICSTEP_TEST("a broken stream is left without its end if no engine has its software version",
                "[relay][version]")
{
  ScriptedBackend breaking(Always({ StreamHead() + Events(1, 2), Then::Close }));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", breaking, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  const std::string answer = fixture.SendRequest("POST", "/resume/");
  CHECK_TRUE(Contains(answer, "id: 2\n"));
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
  CHECK_TRUE(newer.Requests().empty());
}

MASTICSTEP_TEST("a stream of a silent engine is offered only to engines of its software version",
                "[relay][version]")
{
  ScriptedBackend silent(Always({ StreamHead() + Events(1, 2) }));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  ScriptedBackend same(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", silent, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  fixture.Add("e3", "llm", same, Stage::Whole, "v1");
  CHECK_TRUE(Contains(fixture.SendRequest("POST", "/resume/"), "id: 4\n"));
  CHECK_TRUE(newer.Requests().empty());
}

// Guards against an engine that goes on from the KV cache of another software version.
MASTICSTEP_TEST("an answer is written at the software version that read its prompt",
                "[relay][version]")
{
  ScriptedBackend reader(ReadOrWrite);
  ScriptedBackend newer(Always(WholeStream(1, 3)));
  ScriptedBackend same(Always(WholeStream(1, 3)));
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill, "v1");
  fixture.Add("w2", "llm", newer, Stage::Decode, "v2");
  fixture.Add("w1", "llm", same, Stage::Decode, "v1");
  CHECK_TRUE(Contains(fixture.SendRequest("POST", "/resume/"), "id: 3\n"));
  const std::size_t transferred = newer.Requests().empty() ? 0 : 1;
  CHECK_TRUE(transferred == 0 || !Contains(newer.Requests().at(0), "Source: "));
}

// Guards against prompts that are read by engines whose software version nobody can write at.
MASTICSTEP_TEST("a prompt is not read at a software version without an engine for its answer",
                "[relay][version]")
{
  ScriptedBackend reader(ReadOrWrite);
  ScriptedBackend newer(Always(WholeStream(1, 3)));
  RelayFixture fixture;
  fixture.Add("r1", "llm", reader, Stage::Prefill, "v1");
  fixture.Add("w2", "llm", newer, Stage::Decode, "v2");
  CHECK_TRUE(Contains(fixture.SendRequest("POST", "/stream/"), "id: 3\n"));
  CHECK_TRUE(reader.Requests().empty());
}

// Guards against joining the text of two software versions when a caller takes up a stream.
MASTICSTEP_TEST("a stream that a caller takes up goes on at the version that began it",
                "[relay][version]")
{
  ScriptedBackend older(Always({ StreamHead() + Events(1, 2), Then::Close }));
  ScriptedBackend newer(Always(WholeStream(1, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", older, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  CHECK_TRUE(Contains(fixture.SendRequest("POST", "/resume/"), "id: 2\n"));
  const std::size_t before = older.Requests().size();
  fixture.SendRequest("POST", "/resume/", "Last-Event-Id: 2\r\nResumes: c1\r\n");
  CHECK_TRUE(newer.Requests().empty());
  CHECK_EQUAL(before + 1, older.Requests().size());
}

// Guards against refusing requests whose route does not let a stream be resumed at all, or events
// of an engine that begins their streams anew.
MASTICSTEP_TEST("a last event on a route that is not resumable does not ask for a version",
                "[relay][version]")
{
  ScriptedBackend older(Always(WholeStream(3, 4)));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", older, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  const std::string answer = fixture.SendRequest("POST", "/stream/", "Last-Event-Id: 2\r\n");
  CHECK_TRUE(Contains(answer, "id: 4\n"));
  ScriptedBackend anew(Always(WholeStream(1, 4)));
  RelayFixture other;
  other.Add("e1", "llm", anew, Stage::Whole, "v1");
  const std::string whole = other.SendRequest("POST", "/stream/", "Last-Event-Id: 2\r\n");
  CHECK_TRUE(Contains(whole, "id: 1\n") && Contains(whole, "id: 4\n"));
  CHECK_TRUE(Contains(anew.Requests().at(0), "Resume-After: 2"));
}

MASTICSTEP_TEST("a stream whose version nobody knows is refused as not run", "[relay][version]")
{
  ScriptedBackend older(Always(WholeStream(3, 4)));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("e1", "llm", older, Stage::Whole, "v1");
  fixture.Add("e2", "llm", newer, Stage::Whole, "v2");
  const std::string answer =
    fixture.SendRequest("POST", "/resume/", "Last-Event-Id: 2\r\nResumes: other\r\n");
  CHECK_TRUE(answer.starts_with("HTTP/1.1 503"));
  CHECK_TRUE(older.Requests().empty() && newer.Requests().empty());
}

// Guards against refusing a stream whose only engine that can write it refuses it once.
MASTICSTEP_TEST("a resumed stream is sent again to the engine of its version that refused it",
                "[relay][version][resume][failure]")
{
  std::atomic<int> refusals{ 2 };
  ScriptedBackend writer([&](const std::string& aRequest) {
    if (!Contains(aRequest, "Resume-After: ")) {
      return WholeStream(1, 2);
    }
    return refusals-- > 0 ? ScriptedResponse{ "HTTP/1.1 503 X\r\nId: c1\r\nNot-Run: "
                                              "1\r\nContent-Length: 0\r\n\r\n" }
                          : WholeStream(3, 4);
  });
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  RelayFixture fixture;
  fixture.Add("w1", "llm", writer, Stage::Decode, "v1");
  fixture.Add("w2", "llm", newer, Stage::Decode, "v2");
  fixture.SendRequest("POST", "/resume/");
  const std::string answer =
    fixture.SendRequest("POST", "/resume/", "Last-Event-Id: 2\r\nResumes: c1\r\n");
  CHECK_TRUE(Contains(answer, "id: 4\n") && answer.ends_with("0\r\n\r\n"));
  CHECK_EQUAL(std::size_t{ 4 }, writer.Requests().size());
  CHECK_TRUE(newer.Requests().empty());
}

// Guards against refusing a stream that was read when the last engine that could write it left,
// while the engine that read it becomes a writer.
MASTICSTEP_TEST("a resumed stream waits for the engine that read it to write the answer",
                "[relay][version][resume]")
{
  RelayFixture fixture;
  std::atomic<bool> isResumed{ false };
  std::thread stageChange;
  ScriptedBackend reader([&](const std::string& aRequest) {
    if (isResumed && !stageChange.joinable()) {
      fixture.Remove("w1");
      stageChange = std::thread([&fixture] {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        fixture.SetStage("r1", Stage::Decode);
      });
    }
    return ReadOrWrite(aRequest);
  });
  ScriptedBackend writer(Always(WholeStream(1, 2)));
  ScriptedBackend newer(Always(WholeStream(3, 4)));
  fixture.Add("r1", "llm", reader, Stage::Prefill, "v1");
  fixture.Add("w1", "llm", writer, Stage::Decode, "v1");
  fixture.Add("w2", "llm", newer, Stage::Decode, "v2");
  fixture.SendRequest("POST", "/resume/");
  isResumed = true;
  const std::string answer =
    fixture.SendRequest("POST", "/resume/", "Last-Event-Id: 2\r\nResumes: c1\r\n");
  CHECK_TRUE(stageChange.joinable());
  stageChange.join();
  CHECK_TRUE(Contains(answer, "id: 4\n") && answer.ends_with("0\r\n\r\n"));
  CHECK_TRUE(newer.Requests().empty());
}

namespace {

// Engine of a split route: breaks new streams off after two events, and goes on with resumed ones.
// It answers with the id of the request.
ScriptedResponse BeginOrGoOn(const std::string& aRequest)
{
  const std::size_t begin = aRequest.find("Id: ") + 4;
  const std::string id = aRequest.substr(begin, aRequest.find('\r', begin) - begin);
  std::string head = StreamHead();
  head.replace(head.find("c1"), 2, id);
  return Contains(aRequest, "Resume-After: ")
           ? ScriptedResponse{ head + Events(3, 4) + StreamEnd() }
           : ScriptedResponse{ head + Events(1, 2), Then::Close };
}

// Three services behind one route, each with one engine of each of the software versions.
class SplitServices
{
public:
  static inline const std::vector<std::string> kServices{ "a", "b", "c" };

  explicit SplitServices(const std::vector<std::string>& aVersions)
  {
    for (const std::string& service : kServices) {
      for (const std::string& version : aVersions) {
        mEngines.push_back(std::make_unique<ScriptedBackend>(BeginOrGoOn));
        fixture.Add(service + version, service, *mEngines.back(), Stage::Whole, version);
      }
    }
    SetWeights({ 1, 1, 1 });
  }

  void SetWeights(const std::vector<std::uint32_t>& aWeights)
  {
    shares.clear();
    for (std::size_t i = 0; i < kServices.size(); ++i) {
      shares.push_back({ ServiceName{ kServices.at(i) }, aWeights.at(i) });
    }
    fixture.SplitResume(shares);
  }
  // Begins a stream that breaks off, and returns the number of its engine.
  std::size_t Begin(const std::string& aId)
  {
    CHECK_TRUE(Contains(fixture.SendRequest("POST", "/resume/", "", aId), "id: 2\n"));
    return EngineOf("Id: " + aId + "\r");
  }
  // Returns the answer to an attempt that resumes the stream.
  std::string Resume(const std::string& aStream, const std::string& aId)
  {
    return fixture.SendRequest("POST", "/resume/",
                               "Last-Event-Id: 2\r\nResumes: " + aStream + "\r\n", aId);
  }
  // Returns the number of the only engine that got such a request.
  std::size_t EngineOf(const std::string& aPart) const
  {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      for (const std::string& request : mEngines.at(i)->Requests()) {
        if (Contains(request, aPart) && (found.empty() || found.back() != i)) {
          found.push_back(i);
        }
      }
    }
    CHECK_EQUAL(std::size_t{ 1 }, found.size());
    return found.empty() ? mEngines.size() : found.front();
  }

  RelayFixture fixture;
  std::vector<dispatch::ServiceShare> shares;

private:
  std::vector<std::unique_ptr<ScriptedBackend>> mEngines;
};

} // namespace

// Guards against take-ups that are refused, or that go on at an engine that never saw the stream,
// because each attempt of a caller is sent to a service of its own.
MASTICSTEP_TEST("streams of a split route are resumed at the service that began them",
                "[relay][version][resume][routes]")
{
  SplitServices services({ "v1", "v2" });
  for (int i = 0; i < 8; ++i) {
    const std::string stream = "s" + std::to_string(i);
    const std::size_t engine = services.Begin(stream);
    // A stream may break again; its caller then names the same attempt.
    for (const std::string& attempt : { stream + "-second", stream + "-third" }) {
      CHECK_TRUE(Contains(services.Resume(stream, attempt), "id: 4\n"));
      CHECK_EQUAL(engine, services.EngineOf("Id: " + attempt));
    }
  }
}

// Guards against the same where a configuration changes the weights between two attempts.
MASTICSTEP_TEST("a stream is resumed at its service after the weights of the route have changed",
                "[relay][version][resume][routes]")
{
  SplitServices services({ "v1", "v2" });
  const std::size_t engine = services.Begin("s0");
  const std::size_t own = engine / 2;
  std::vector<std::uint32_t> weights{ 1000, 1000, 1000 };
  weights.at(own) = 1;
  services.SetWeights(weights);
  dispatch::Route route;
  route.shares = services.shares;
  CHECK_FALSE(dispatch::ChooseService(route, "s0") == services.shares.at(own).service);
  CHECK_TRUE(Contains(services.Resume("s0", "s0-second"), "id: 4\n"));
  CHECK_EQUAL(engine, services.EngineOf("Id: s0-second"));
  // A service without weight gets no requests any more.
  weights.at(own) = 0;
  services.SetWeights(weights);
  CHECK_FALSE(Contains(services.Resume("s0", "s0-third"), "id: 4\n"));
}

// Guards against streams that go on at an engine of another service because nothing is recorded.
MASTICSTEP_TEST("a stream without a record is resumed at the service of its first attempt",
                "[relay][version][resume][routes]")
{
  SplitServices services({ "v1" });
  services.fixture.CompleteHistory();
  dispatch::Route route;
  route.shares = services.shares;
  for (int i = 0; i < 8; ++i) {
    const std::string stream = "s" + std::to_string(i);
    CHECK_TRUE(Contains(services.Resume(stream, stream + "-second"), "id: 4\n"));
    const std::size_t engine = services.EngineOf("Id: " + stream + "-second");
    CHECK_TRUE(services.shares.at(engine).service == dispatch::ChooseService(route, stream));
  }
}
