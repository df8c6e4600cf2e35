#include "RelayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

#include <atomic>
#include <thread>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using Then = ScriptedResponse::Then;

ScriptedBackend::Script Always(const ScriptedResponse& aAnswer)
{
  return [aAnswer](const std::string&) { return aAnswer; };
}

const std::string kNotExecutedResponse =
  "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string Status(const std::string& aAnswer)
{
  return aAnswer.substr(0, 12);
}

} // namespace

MASTICSTEP_TEST("a complete signed response is forwarded unchanged", "[relay][plain]")
{
  ScriptedBackend backend(Always({ SignedResponse(201, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  const std::string answer = fixture.SendRequest("POST", "/once/x?y=1");
  CHECK_EQUAL(std::string("HTTP/1.1 201"), Status(answer));
  CHECK_TRUE(Contains(answer, "Signed: s") && answer.ends_with("\r\n\r\ndone"));
  CHECK_TRUE(backend.Requests().at(0).starts_with("POST /once/x?y=1 HTTP/1.1\r\n"));
  CHECK_TRUE(Contains(backend.Requests().at(0), "For: b1"));
}

// Guards against executing a request twice: after a connection reset it may have been executed.
MASTICSTEP_TEST("a non-repeatable call is sent once and never reported as not executed",
                "[relay][plain][failure]")
{
  ScriptedBackend broken(Always({ "", Then::Reset }));
  ScriptedBackend other(Always({ SignedResponse(200, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", broken);
  fixture.Add("b2", "plain", other);
  CHECK_EQUAL(std::string("HTTP/1.1 502"), Status(fixture.SendRequest("POST", "/once/")));
  CHECK_EQUAL(std::size_t{ 1 }, broken.Requests().size());
  CHECK_TRUE(other.Requests().empty());
}

MASTICSTEP_TEST("an idempotent call is retried on another server after a failure",
                "[relay][plain][failure]")
{
  ScriptedBackend broken(Always({ "", Then::Reset }));
  ScriptedBackend other(Always({ SignedResponse(200, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", broken);
  fixture.Add("b2", "plain", other);
  CHECK_TRUE(fixture.SendRequest("GET", "/again/").ends_with("done"));
}

// Guards against more executions than the route's attempts allow.
MASTICSTEP_TEST("an idempotent call is executed at most as often as its route allows",
                "[relay][plain][failure]")
{
  ScriptedBackend first(Always({ "", Then::Reset }));
  ScriptedBackend second(Always({ "", Then::Reset }));
  ScriptedBackend third(Always({ SignedResponse(200, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", first);
  fixture.Add("b2", "plain", second);
  fixture.Add("b3", "plain", third);
  CHECK_EQUAL(std::string("HTTP/1.1 502"), Status(fixture.SendRequest("GET", "/again/")));
  CHECK_TRUE(third.Requests().empty());
}

MASTICSTEP_TEST("a call that a server did not execute is retried on another one",
                "[relay][plain][failure]")
{
  ScriptedBackend full(Always({ kNotExecutedResponse, Then::KeepOpen }));
  ScriptedBackend other(Always({ SignedResponse(200, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", full);
  fixture.Add("b2", "plain", other);
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("done"));
}

MASTICSTEP_TEST("a call that no server executed is refused with Retry-After",
                "[relay][plain][failure]")
{
  ScriptedBackend full(Always({ kNotExecutedResponse, Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", full);
  const std::string answer = fixture.SendRequest("POST", "/once/");
  CHECK_EQUAL(std::string("HTTP/1.1 503"), Status(answer));
  CHECK_TRUE(Contains(answer, "Retry-After: "));
}

// Guards against returning the response of another request: a reused connection may still hold a
// duplicate response.
MASTICSTEP_TEST("a response to another request is skipped", "[relay][plain][failure]")
{
  ScriptedBackend backend(
    Always({ SignedResponse(200, "stale", "c0") + SignedResponse(200, "own"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("\r\n\r\nown"));
}

// Guards against forwarding a truncated response as if it were complete.
MASTICSTEP_TEST("truncated, unsigned and reset responses are not forwarded",
                "[relay][plain][failure]")
{
  const std::string whole = SignedResponse(200, "done");
  const std::string unframed = "HTTP/1.1 200 X\r\nId: c1\r\nSigned: s\r\n\r\ndo";
  const std::vector<ScriptedResponse> answers = {
    { whole.substr(0, whole.size() - 2), Then::Close },
    { unframed, Then::Reset },
    { "HTTP/1.1 200 X\r\nId: c1\r\nContent-Length: 4\r\n\r\ndone", Then::KeepOpen },
    { "HTTP/1.1 200 X\r\nId: c9\r\nSigned: s\r\nContent-Length: 4\r\n\r\ndone", Then::Close },
    { "not an HTTP response", Then::Close }
  };
  for (const ScriptedResponse& answer : answers) {
    ScriptedBackend backend(Always(answer));
    RelayFixture fixture;
    fixture.Add("b1", "plain", backend);
    const std::string got = fixture.SendRequest("POST", "/once/");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.text, std::string("HTTP/1.1 502"), Status(got));
  }
}

MASTICSTEP_TEST("a response without a length ends when its connection closes", "[relay][plain]")
{
  ScriptedBackend backend(
    Always({ "HTTP/1.1 200 X\r\nId: c1\r\nSigned: s\r\n\r\ndone", Then::Close }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("\r\n\r\ndone"));
}

MASTICSTEP_TEST("a server error is forwarded if the call is not repeatable", "[relay][plain]")
{
  ScriptedBackend backend(Always({ SignedResponse(500, "oops"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  const std::string answer = fixture.SendRequest("POST", "/once/");
  CHECK_EQUAL(std::string("HTTP/1.1 500"), Status(answer));
  CHECK_TRUE(answer.ends_with("oops"));
}

MASTICSTEP_TEST("requests without a configuration or a matching route are refused",
                "[relay][routes]")
{
  RelayFixture starting(false);
  const std::string refused = starting.SendRequest("POST", "/once/");
  CHECK_EQUAL(std::string("HTTP/1.1 503"), Status(refused));
  CHECK_TRUE(Contains(refused, "Retry-After: "));
  RelayFixture fixture;
  CHECK_EQUAL(std::string("HTTP/1.1 404"), Status(fixture.SendRequest("GET", "/unknown/")));
}

// Guards against callers that wait longer than their route's timeout.
MASTICSTEP_TEST("a call is answered when its route's timeout expires", "[relay][plain][failure]")
{
  ScriptedBackend silent(Always({ "", Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", silent);
  CHECK_EQUAL(std::string("HTTP/1.1 504"), Status(fixture.SendRequest("POST", "/soon/")));
}

// Guards against request smuggling: a second request hidden in the body of the first.
MASTICSTEP_TEST("requests with ambiguous framing are refused", "[relay][bounds]")
{
  ScriptedBackend backend(Always({ SignedResponse(200, "done"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  for (const char* const length :
       { "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
         "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "Content-Length: 2\r\nContent-Length: 5\r\n" }) {
    const std::unique_ptr<net::RawClient> client = fixture.Connect();
    client->Send("POST /once/ HTTP/1.1\r\nHost: a.example\r\nId: c1\r\n" + std::string(length) +
                 "\r\nGET /once/smuggled HTTP/1.1\r\nHost: a.example\r\nId: c2\r\n\r\n");
    CHECK_EQUAL(std::string("HTTP/1.1 400"), Status(client->ReadUntilClosed()));
  }
  CHECK_TRUE(backend.Requests().empty());
}

// A server in trouble may send bytes that are no answer without end. Guards against a session that
// reads them until its deadline and keeps them in memory.
MASTICSTEP_TEST("an answer without end does not hold its caller", "[relay][plain][failure][bounds]")
{
  const std::string bytes(4 * 1024 * 1024, 'x');
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const std::vector<std::string> answers{
    bytes,                                                   // no head at all
    "HTTP/1.1 200 OK\r\nX: " + bytes,                        // a header line without end
    "HTTP/1.1 200 OK\r\n\r\n" + bytes,                       // an unsigned body without length
    chunked + "Id: c1\r\nSigned: 1\r\n\r\n5;x=" + bytes,     // a chunk extension without end
    chunked + "Id: c1\r\nSigned: 1\r\n\r\n0\r\nX: " + bytes, // a trailer without end
  };
  for (const std::string& answer : answers) {
    ScriptedBackend faulty([&answer](const std::string&) {
      return ScriptedResponse{ answer, ScriptedResponse::Then::KeepOpen };
    });
    ScriptedBackend sound([](const std::string&) {
      return ScriptedResponse{ SignedResponse(200, "ok"), ScriptedResponse::Then::KeepOpen };
    });
    RelayFixture fixture;
    fixture.Add("a", "plain", faulty);
    fixture.Add("b", "plain", sound);
    const Time begin = net::Now();
    CHECK_TRUE(fixture.SendRequest("GET", "/again/").ends_with("ok"));
    CHECK_TRUE(net::Now() < begin + Seconds(1));
  }
}

MASTICSTEP_TEST("informational responses are skipped", "[relay][plain]")
{
  ScriptedBackend backend([](const std::string&) {
    return ScriptedResponse{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" +
                               SignedResponse(200, "ok"),
                             ScriptedResponse::Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("a", "plain", backend);
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("ok"));
}

MASTICSTEP_TEST("informational responses without end are a failure",
                "[relay][plain][failure][bounds]")
{
  ScriptedBackend backend([](const std::string&) {
    std::string text;
    for (int i = 0; i < 1000; ++i) {
      text += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    return ScriptedResponse{ text, ScriptedResponse::Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("a", "plain", backend);
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").starts_with("HTTP/1.1 502"));
}

// Guards against large answers that together exceed the memory of an entry host, and against a sum
// that grows with each answer.
MASTICSTEP_TEST("the answers in memory are bounded in sum", "[relay][plain][bounds]")
{
  const std::string large(2 * net::ByteCharge::kGrantedBytes, 'x');
  ScriptedBackend largeAnswers(Always({ SignedResponse(200, large), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("a", "plain", largeAnswers);
  net::ByteBudget& budget = fixture.AnswerBytes();
  CHECK_TRUE(budget.TryTake(budget.Bound()));
  CHECK_EQUAL(std::string("HTTP/1.1 502"), Status(fixture.SendRequest("POST", "/once/")));
  CHECK_EQUAL(budget.Bound(), budget.InUse());
  budget.Return(budget.Bound());
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with(large));
  CHECK_EQUAL(std::size_t{ 0 }, budget.InUse());
}

// Guards against ordinary answers that fail since faulty backend servers fill the memory.
MASTICSTEP_TEST("an ordinary answer is forwarded while the others use up their memory",
                "[relay][plain][bounds]")
{
  ScriptedBackend backend(Always({ SignedResponse(200, "ok"), Then::KeepOpen }));
  RelayFixture fixture;
  fixture.Add("a", "plain", backend);
  net::ByteBudget& budget = fixture.AnswerBytes();
  CHECK_TRUE(budget.TryTake(budget.Bound()));
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("ok"));
  budget.Return(budget.Bound());
}

// Guards against a prompt part that crashes backend servers on routes without streams, where each
// request is also sent twice.
MASTICSTEP_TEST("a prompt part that crashes backend servers is quarantined on plain routes too",
                "[relay][plain][failure]")
{
  constexpr std::size_t kServers = 12;
  constexpr std::size_t kMaximumCrashes = 6; // the last request may have crashed a second one
  std::atomic<std::size_t> crashes = 0;
  RelayFixture fixture;
  std::vector<std::unique_ptr<ScriptedBackend>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(
      std::make_unique<ScriptedBackend>([&crashes](const std::string& /*aRequest*/) {
        ++crashes;
        return ScriptedResponse{ {}, ScriptedResponse::Then::Crash };
      }));
    fixture.Add("s" + std::to_string(i), "plain", *servers.back());
  }
  for (std::size_t i = 0; i < kServers / 2; ++i) {
    fixture.SendRequest("POST", "/again/", "Parts: 1,7," + std::to_string(100 + i) + "\r\n");
    std::this_thread::sleep_for(Milliseconds(120));
  }
  CHECK_TRUE(crashes <= kMaximumCrashes);
}

// Guards against a request that crashes one backend server after the other as its caller sends it
// again.
MASTICSTEP_TEST("a request under which backend servers crashed is not sent to more of them",
                "[relay][plain][failure]")
{
  constexpr std::size_t kServers = 12;
  constexpr std::size_t kMaximumCrashes = 4; // the second request may crash its second server
  std::atomic<std::size_t> crashes = 0;
  RelayFixture fixture;
  std::vector<std::unique_ptr<ScriptedBackend>> servers;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<ScriptedBackend>([&crashes](const std::string& aRequest) {
      if (aRequest.find("/again/7 ") == std::string::npos) {
        return ScriptedResponse{ SignedResponse(200, "sound"), Then::KeepOpen };
      }
      ++crashes;
      return ScriptedResponse{ {}, Then::Crash };
    }));
    fixture.Add("s" + std::to_string(i), "plain", *servers.back());
  }
  std::string last;
  for (std::size_t i = 0; i < kServers / 2; ++i) {
    CHECK_TRUE(fixture.SendRequest("POST", "/again/8").ends_with("sound"));
    last = fixture.SendRequest("POST", "/again/7");
    std::this_thread::sleep_for(Milliseconds(120));
  }
  CHECK_TRUE(crashes <= kMaximumCrashes);
  CHECK_EQUAL(std::string("HTTP/1.1 503"), Status(last));
}
