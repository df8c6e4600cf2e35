#include "LoopbackServer.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

#include <future>
#include <stdexcept>
#include <thread>

using namespace masticstep;
using namespace masticstep::net;

namespace {

// Longer than all steps by which the server finds out whether a caller is there.
constexpr Duration kLongRequest = Milliseconds(500);
constexpr Duration kGoneLimit = Milliseconds(400);

Task<void> AnswerSlowly(HttpRequest aRequest, HttpResponder& aResponder)
{
  co_await Sleep(kLongRequest);
  if (aResponder.IsGone()) {
    co_return;
  }
  HttpResponse response = JsonResponse(200, aRequest.target);
  co_await aResponder.Send(std::move(response));
}

Task<void> StreamSlowly(HttpRequest, HttpResponder& aResponder)
{
  HttpResponseHead head;
  aResponder.StartStream(std::move(head));
  for (int i = 0; i < 3; ++i) {
    co_await Sleep(kLongRequest);
    if (aResponder.IsGone()) {
      co_return;
    }
    co_await aResponder.WriteChunk("piece");
  }
  co_await aResponder.EndStream();
}

std::size_t CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (std::size_t at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

// Sends, ends the sending side and returns all that the server answers.
std::string AnswerAfterEndOfSending(const LoopbackServer& aServer, const std::string& aRequest)
{
  RawClient client(aServer.Address());
  client.Send(aRequest);
  client.EndSending();
  return client.ReadUntilClosed();
}

// Returns how long the handler took to learn that the caller closed its connection. aStarted is
// called with the responder before the wait.
Duration TimeUntilGone(const std::function<Task<void>(HttpResponder&)>& aStarted)
{
  std::promise<void> running;
  std::promise<void> gone;
  LoopbackServer server({}, [&](HttpRequest, HttpResponder& aResponder) -> Task<void> {
    co_await aStarted(aResponder);
    running.set_value();
    while (!aResponder.IsGone()) {
      co_await Sleep(Milliseconds(5));
    }
    gone.set_value();
  });
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  running.get_future().wait();
  client.Close();
  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  gone.get_future().wait_for(std::chrono::seconds(5));
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
}

} // namespace

// Guards against a caller that counts as gone because it sends no more requests.
MASTICSTEP_TEST("a caller that ended its sending side gets its answer", "[net][end]")
{
  LoopbackServer server({}, AnswerSlowly);
  for (const char* version : { "HTTP/1.0", "HTTP/1.1" }) {
    const std::string answer =
      AnswerAfterEndOfSending(server, "GET /one " + std::string(version) + "\r\n\r\n");
    CHECK_EQUAL(std::string("HTTP/1.1 200 OK\r\n"), answer.substr(0, 17));
    CHECK_TRUE(answer.ends_with("\r\n\r\n/one"));
    CHECK_TRUE(answer.find("Connection: close\r\n") != std::string::npos);
  }
}

MASTICSTEP_TEST("a caller that ended its sending side gets its whole stream", "[net][end]")
{
  LoopbackServer server({}, StreamSlowly);
  const std::string chunked = AnswerAfterEndOfSending(server, "GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200 OK\r\n"), chunked.substr(0, 17));
  CHECK_EQUAL(3u, CountOf(chunked, "5\r\npiece\r\n"));
  CHECK_TRUE(chunked.ends_with("0\r\n\r\n"));
  const std::string plain = AnswerAfterEndOfSending(server, "GET / HTTP/1.0\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200 OK\r\n"), plain.substr(0, 17));
  CHECK_TRUE(plain.ends_with("\r\n\r\npiecepiecepiece"));
}

MASTICSTEP_TEST("all pipelined requests before the end of sending are answered", "[net][end]")
{
  LoopbackServer server({}, AnswerSlowly);
  const std::string answers =
    AnswerAfterEndOfSending(server, "GET /one HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(2u, CountOf(answers, "HTTP/1.1 200 OK\r\n"));
  CHECK_TRUE(answers.find("\r\n\r\n/oneHTTP/1.1 200 OK\r\n") != std::string::npos);
  CHECK_TRUE(answers.ends_with("\r\n\r\n/two"));
}

// Guards against the first bytes of a status line that nothing follows.
MASTICSTEP_TEST("a handler that fails after the end of sending gives a whole answer", "[net][end]")
{
  LoopbackServer server({}, [](HttpRequest aRequest, HttpResponder& aResponder) -> Task<void> {
    if (aRequest.target == "/begun") {
      HttpResponseHead head;
      aResponder.StartStream(std::move(head));
    }
    co_await Sleep(kLongRequest);
    if (aRequest.target == "/throw") {
      throw std::runtime_error("handler failed");
    }
  });
  for (const char* target : { "/silent", "/throw", "/begun" }) {
    const std::string answer =
      AnswerAfterEndOfSending(server, "GET " + std::string(target) + " HTTP/1.1\r\n\r\n");
    CHECK_EQUAL(std::string("HTTP/1.1 500 "), answer.substr(0, 13));
    CHECK_EQUAL(1u, CountOf(answer, "HTTP/1.1"));
  }
}

// Guards against engines that work for callers who left.
MASTICSTEP_TEST("a full close is noticed before and within an answer", "[net][end]")
{
  CHECK_TRUE(TimeUntilGone([](HttpResponder&) -> Task<void> { co_return; }) < kGoneLimit);
  CHECK_TRUE(TimeUntilGone([](HttpResponder& aResponder) -> Task<void> {
               HttpResponseHead head;
               aResponder.StartStream(std::move(head));
               co_await aResponder.WriteChunk("piece");
             }) < kGoneLimit);
}

// Guards against a request that is dropped without a word because its caller is slow.
MASTICSTEP_TEST("a request that is not sent in time is refused with 408", "[net][end]")
{
  ServerLimits limits;
  limits.idleTimeout = Milliseconds(100);
  limits.headerTimeout = Milliseconds(100);
  LoopbackServer server(limits, AnswerSlowly);
  for (const char* part : { "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab" }) {
    RawClient client(server.Address());
    client.Send(part);
    const std::string answer = client.ReadUntilClosed();
    CHECK_EQUAL(std::string("HTTP/1.1 408 "), answer.substr(0, 13));
    CHECK_TRUE(answer.find("Connection: close\r\n") != std::string::npos);
  }
}

// Guards against an answer that is destroyed by the reset which closing a connection with unread
// bytes causes.
MASTICSTEP_TEST("a refusal reaches a caller that still sends", "[net][end]")
{
  ServerLimits limits;
  limits.bodyBytes = 10;
  LoopbackServer server(limits, AnswerSlowly);
  RawClient client(server.Address());
  client.Send("POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + std::string(200000, 'a'));
  std::this_thread::sleep_for(Milliseconds(100));
  client.Send(std::string(200000, 'a'));
  CHECK_EQUAL(std::string("HTTP/1.1 413 "), client.ReadUntilClosed().substr(0, 13));
  CHECK_FALSE(client.WasReset());
}

MASTICSTEP_TEST("a request that ends early is refused with 400", "[net][end]")
{
  LoopbackServer server({}, AnswerSlowly);
  for (const char* part : { "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab" }) {
    const std::string answer = AnswerAfterEndOfSending(server, part);
    CHECK_EQUAL(std::string("HTTP/1.1 400 "), answer.substr(0, 13));
  }
  CHECK_EQUAL(std::string(), AnswerAfterEndOfSending(server, ""));
}
