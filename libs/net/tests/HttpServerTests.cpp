#include "LoopbackServer.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace masticstep;
using namespace masticstep::net;

namespace {

Task<void> AnswerOk(HttpRequest aRequest, HttpResponder& aResponder)
{
  HttpResponse response = JsonResponse(200, aRequest.body);
  co_await aResponder.Send(std::move(response));
}

// Sends until the caller is gone, without an end.
Task<void> StreamForever(HttpResponder& aResponder, std::promise<void>& aGone)
{
  HttpResponseHead head;
  aResponder.StartStream(std::move(head));
  const std::string piece(32768, 'x');
  while (!aResponder.IsGone()) {
    co_await aResponder.WriteChunk(piece);
  }
  aGone.set_value();
}

std::string Status(const std::string& aAnswer)
{
  return aAnswer.substr(0, 12);
}

} // namespace

// Guards against headers that use memory without bound.
MASTICSTEP_TEST("a header over the limit is refused with 431", "[net][bounds]")
{
  ServerLimits limits;
  limits.headerBytes = 1024;
  LoopbackServer server(limits, AnswerOk);
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'a') + "\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 431"), Status(client.ReadUntilClosed()));
}

// Guards against bodies that use memory without bound, whether or not they state their length.
MASTICSTEP_TEST("a body over the limit is refused with 413", "[net][bounds]")
{
  ServerLimits limits;
  limits.bodyBytes = 100;
  LoopbackServer server(limits, AnswerOk);
  RawClient sized(server.Address());
  sized.Send("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 413"), Status(sized.ReadUntilClosed()));
  RawClient chunked(server.Address());
  chunked.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
               std::string(101, 'a') + "\r\n0\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 413"), Status(chunked.ReadUntilClosed()));
}

// Guards against what is neither head nor body and uses memory without bound.
MASTICSTEP_TEST("chunk extensions and trailers over the limit are refused, short ones are not",
                "[net][bounds]")
{
  ServerLimits limits;
  limits.headerBytes = 1024;
  limits.bodyBytes = 1024;
  LoopbackServer server(limits, AnswerOk);
  const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string line = "X-Trailer: " + std::string(100, 't') + "\r\n";
  std::string trailers;
  for (int i = 0; i < 100; ++i) {
    trailers += line;
  }
  std::string smallChunks;
  for (int i = 0; i < 3000; ++i) {
    smallChunks += "1;" + std::string(20, 'e') + "\r\na\r\n";
  }
  struct Case
  {
    std::string rest;
    const char* status;
  };
  for (const Case& item : { Case{ "1\r\na\r\n0\r\n" + line + "\r\n", "HTTP/1.1 200" },
                            Case{ "1;x=y\r\na\r\n0\r\n\r\n", "HTTP/1.1 200" },
                            Case{ "1\r\na\r\n0\r\n" + trailers, "HTTP/1.1 431" },
                            Case{ "1;" + std::string(10000, 'e'), "HTTP/1.1 431" },
                            Case{ smallChunks, "HTTP/1.1 413" } }) {
    RawClient client(server.Address());
    client.Send(head + item.rest);
    CHECK_EQUAL(std::string(item.status), Status(client.ReadUntil("\r\n\r\n")));
  }
}

// Guards against connections that hold a descriptor for ever, between requests or within one.
MASTICSTEP_TEST("idle connections and unfinished requests are closed", "[net][bounds]")
{
  ServerLimits limits;
  limits.idleTimeout = Milliseconds(50);
  LoopbackServer server(limits, AnswerOk);
  RawClient silent(server.Address());
  CHECK_EQUAL(std::string(), silent.ReadUntilClosed());
  RawClient unfinished(server.Address());
  unfinished.Send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  CHECK_EQUAL(std::string("HTTP/1.1 408"), Status(unfinished.ReadUntilClosed()));
}

// Guards against a new configuration whose limits end a request that is being served, or a kept
// connection on which the next one arrives.
MASTICSTEP_TEST("new limits end neither a running request nor a kept connection", "[net][bounds]")
{
  std::promise<void> arrived;
  LoopbackServer server({},
                        [&arrived](HttpRequest aRequest, HttpResponder& aResponder) -> Task<void> {
                          const bool isSlow = aRequest.target == "/slow";
                          if (isSlow) {
                            arrived.set_value();
                            co_await Sleep(Milliseconds(600));
                          }
                          co_await AnswerOk(std::move(aRequest), aResponder);
                        });
  RawClient running(server.Address());
  RawClient kept(server.Address());
  kept.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(kept.ReadUntil("\r\n\r\n")));
  running.Send("GET /slow HTTP/1.1\r\n\r\n");
  arrived.get_future().wait();
  ServerLimits limits;
  limits.headerTimeout = Milliseconds(50);
  limits.idleTimeout = Milliseconds(50);
  limits.slowReaderTimeout = Milliseconds(50);
  limits.connectionsPerSource = 1;
  server.Server().SetLimits(limits);
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(running.ReadUntil("\r\n\r\n")));
  kept.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(kept.ReadUntil("\r\n\r\n")));
}

// Guards against a request that is refused by limits which no longer hold when it is sent, since
// its connection was kept from before.
MASTICSTEP_TEST("a request on a kept connection is read with the limits of its time",
                "[net][bounds]")
{
  ServerLimits limits;
  limits.bodyBytes = 10;
  LoopbackServer server(limits, AnswerOk);
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(client.ReadUntil("\r\n\r\n")));
  std::this_thread::sleep_for(Milliseconds(50));
  limits.bodyBytes = 100;
  server.Server().SetLimits(limits);
  const std::string request =
    "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n" + std::string(50, 'a');
  client.Send(request);
  CHECK_EQUAL(std::string("HTTP/1.1 200"),
              Status(client.ReadUntil("\r\n\r\n" + std::string(50, 'a'))));
  std::this_thread::sleep_for(Milliseconds(50));
  limits.bodyBytes = 10;
  server.Server().SetLimits(limits);
  client.Send(request);
  CHECK_EQUAL(std::string("HTTP/1.1 413"), Status(client.ReadUntilClosed()));
}

// Guards against limits of idle time that run while a request is served, also between two pieces of
// its answer.
MASTICSTEP_TEST("limits of idle time do not end a request that is served", "[net][bounds]")
{
  ServerLimits limits;
  limits.headerTimeout = Milliseconds(100);
  limits.idleTimeout = Milliseconds(100);
  limits.slowReaderTimeout = Milliseconds(100);
  LoopbackServer server(limits, [](const HttpRequest&, HttpResponder& aResponder) -> Task<void> {
    co_await Sleep(Milliseconds(500));
    HttpResponseHead head;
    aResponder.StartStream(std::move(head));
    co_await aResponder.WriteChunk("first");
    co_await Sleep(Milliseconds(500));
    co_await aResponder.WriteChunk("second");
    co_await aResponder.EndStream();
  });
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_TRUE(client.ReadUntil("0\r\n\r\n").ends_with("second\r\n0\r\n\r\n"));
}

// Guards against one source that takes all descriptors.
MASTICSTEP_TEST("connections over the limit of a source are refused with 429", "[net][bounds]")
{
  ServerLimits limits;
  limits.connectionsPerSource = 1;
  LoopbackServer server(limits, AnswerOk);
  RawClient first(server.Address());
  first.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(first.ReadUntil("\r\n\r\n")));
  RawClient second(server.Address());
  CHECK_EQUAL(std::string("HTTP/1.1 429"), Status(second.ReadUntilClosed()));
  first.Send("GET / HTTP/1.1\r\n\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(first.ReadUntil("\r\n\r\n")));
}

// Guards against callers that never read and so hold an engine and memory.
MASTICSTEP_TEST("a caller that does not read its answer is closed", "[net][bounds]")
{
  ServerLimits limits;
  limits.slowReaderTimeout = Milliseconds(50);
  std::promise<void> gone;
  LoopbackServer server(limits, [&gone](const HttpRequest&, HttpResponder& aResponder) {
    return StreamForever(aResponder, gone);
  });
  RawClient client(server.Address());
  client.LimitReceiveBuffer();
  client.Send("GET / HTTP/1.1\r\n\r\n");
  gone.get_future().wait();
}

// Guards against engines that work for callers who left before the first token.
MASTICSTEP_TEST("the handler learns that its caller has closed", "[net]")
{
  std::promise<void> gone;
  LoopbackServer server({}, [&gone](const HttpRequest&, HttpResponder& aResponder) -> Task<void> {
    aResponder.OnGone([&gone] { gone.set_value(); });
    while (!aResponder.IsGone()) {
      co_await Sleep(Milliseconds(5));
    }
  });
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  client.Close();
  gone.get_future().wait();
}

// Guards against losing a request that a caller sent before the answer to the one before.
MASTICSTEP_TEST("pipelined requests are answered in order", "[net]")
{
  LoopbackServer server({}, AnswerOk);
  RawClient client(server.Address());
  client.Send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\none"
              "POST / HTTP/1.1\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo");
  const std::string answers = client.ReadUntilClosed();
  const std::size_t first = answers.find("\r\n\r\none");
  CHECK_TRUE(first != std::string::npos);
  CHECK_TRUE(answers.find("\r\n\r\ntwo", first) != std::string::npos);
}

// Guards against a truncated answer that looks complete.
MASTICSTEP_TEST("an answer that is not ended has no last chunk", "[net]")
{
  LoopbackServer server({}, [](const HttpRequest&, HttpResponder& aResponder) -> Task<void> {
    HttpResponseHead head;
    aResponder.StartStream(std::move(head));
    co_await aResponder.WriteChunk("part");
  });
  RawClient client(server.Address());
  client.Send("GET / HTTP/1.1\r\n\r\n");
  const std::string answer = client.ReadUntilClosed();
  CHECK_TRUE(answer.find("4\r\npart\r\n") != std::string::npos);
  CHECK_TRUE(answer.find("0\r\n\r\n") == std::string::npos);
}

// Guards against a truncated answer that looks complete because its end is the end of the
// connection.
MASTICSTEP_TEST("an answer to HTTP/1.0 that is not ended ends with a reset", "[net][end]")
{
  for (const bool isEnded : { false, true }) {
    LoopbackServer server({}, [&](const HttpRequest&, HttpResponder& aResponder) -> Task<void> {
      HttpResponseHead head;
      aResponder.StartStream(std::move(head));
      co_await aResponder.WriteChunk("part");
      if (isEnded) {
        co_await aResponder.EndStream();
      }
    });
    RawClient client(server.Address());
    client.Send("GET / HTTP/1.0\r\n\r\n");
    client.ReadUntilClosed();
    CHECK_EQUAL(!isEnded, client.WasReset());
  }
}

// Guards against a planned stop that cuts a running answer or keeps idle connections.
MASTICSTEP_TEST("stopping closes idle connections and finishes running answers", "[net][drain]")
{
  std::promise<void> begun;
  std::promise<void> mayFinish;
  std::shared_future<void> allowed = mayFinish.get_future().share();
  LoopbackServer server({}, [&](HttpRequest aRequest, HttpResponder& aResponder) -> Task<void> {
    if (aRequest.target == "/slow") {
      begun.set_value();
      while (allowed.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        co_await Sleep(Milliseconds(5));
      }
    }
    co_await AnswerOk(std::move(aRequest), aResponder);
  });
  RawClient idle(server.Address());
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  idle.ReadUntil("\r\n\r\n");
  RawClient busy(server.Address());
  busy.Send("POST /slow HTTP/1.1\r\nContent-Length: 4\r\n\r\ndone");
  begun.get_future().wait();
  server.Server().StopAccepting();
  CHECK_EQUAL(std::string(), idle.ReadUntilClosed());
  mayFinish.set_value();
  const std::string answer = busy.ReadUntilClosed();
  CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
  CHECK_TRUE(answer.find("done") != std::string::npos);
}

// Guards against uploads that are cut without an answer when the server stops, and against a
// refusal of a request that is being handled.
MASTICSTEP_TEST("a stopping server refuses requests that have not arrived whole", "[net][drain]")
{
  std::promise<void> begun;
  std::promise<void> mayFinish;
  std::shared_future<void> allowed = mayFinish.get_future().share();
  LoopbackServer server({}, [&](HttpRequest aRequest, HttpResponder& aResponder) -> Task<void> {
    begun.set_value();
    while (allowed.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
      co_await Sleep(Milliseconds(5));
    }
    co_await AnswerOk(std::move(aRequest), aResponder);
  });
  RawClient unfinished(server.Address());
  unfinished.Send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  unfinished.ReadUntil("100 Continue\r\n\r\n");
  RawClient busy(server.Address());
  busy.Send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\ndone");
  begun.get_future().wait();
  server.Server().StopAccepting();
  server.Server().RefuseUnfinished();
  const std::string refusal = unfinished.ReadUntilClosed();
  CHECK_EQUAL(std::string("HTTP/1.1 503"), Status(refusal));
  CHECK_TRUE(refusal.find("Connection: close") != std::string::npos);
  mayFinish.set_value();
  const std::string answer = busy.ReadUntilClosed();
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(answer));
  CHECK_TRUE(answer.find("done") != std::string::npos);
}

// Guards against smuggling a request past the bounds inside another one.
MASTICSTEP_TEST("a request with two lengths is refused with 400", "[net][bounds]")
{
  LoopbackServer server({}, AnswerOk);
  for (const char* headers : { "Content-Length: 3\r\nContent-Length: 4\r\n",
                               "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" }) {
    RawClient client(server.Address());
    client.Send("POST / HTTP/1.1\r\n" + std::string(headers) + "\r\nabc");
    CHECK_EQUAL(std::string("HTTP/1.1 400"), Status(client.ReadUntilClosed()));
  }
}

// Guards against callers that are kept out because all connections hold requests that never arrive
// whole, whose time limit is far longer than a caller waits for a new connection, and against new
// connections that are closed as idle before their request has arrived.
MASTICSTEP_TEST("requests that stopped to arrive give way to new connections at the limit",
                "[net][bounds][stalled]")
{
  constexpr std::size_t kConnections = 8;
  // The interim response shows that the request has begun.
  const std::string stalled = "POST / HTTP/1.1\r\nExpect: 100-continue\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  ServerLimits limits;
  limits.connections = kConnections;
  limits.idleTimeout = Seconds(86400);
  std::optional<LoopbackServer> server(std::in_place, limits, AnswerOk);
  std::vector<std::unique_ptr<RawClient>> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<RawClient>(server->Address()));
    callers.back()->Send(stalled);
    CHECK_EQUAL(std::string("HTTP/1.1 100"), Status(callers.back()->ReadUntil("\r\n\r\n")));
  }
  std::future<std::string> answer = std::async(std::launch::async, [address = server->Address()] {
    RawClient caller(address);
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // the way to the server
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab");
    return caller.ReadUntilClosed();
  });
  const bool isAnswered = answer.wait_for(std::chrono::seconds(20)) == std::future_status::ready;
  if (!isAnswered) {
    server.reset(); // ends the caller's wait
  }
  CHECK_TRUE(isAnswered);
  CHECK_EQUAL(std::string("HTTP/1.1 200"), Status(answer.get()));
}
