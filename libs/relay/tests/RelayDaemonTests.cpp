#include "DaemonFixture.hpp"
#include "masticstep/testing/Test.hpp"

#include <future>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

std::vector<dispatch::Route> Routes()
{
  dispatch::Route route;
  route.host = "a.example";
  route.pathPrefix = "/";
  route.shares = { { ServiceName{ "plain" }, 1 } };
  return { route };
}

} // namespace

// Guards against a graceful shutdown that aborts requests, and against a load balancer that keeps
// sending requests to a stopping daemon.
MASTICSTEP_TEST("a stop signal makes the daemon unready and lets running requests finish",
                "[relay][daemon][drain]")
{
  std::promise<void> arrived;
  std::promise<void> mayAnswer;
  ScriptedBackend backend([&](const std::string&) {
    arrived.set_value();
    mayAnswer.get_future().wait();
    return ScriptedResponse{ SignedResponse(200, "done"), ScriptedResponse::Then::KeepOpen };
  });
  DaemonFixture daemon(Seconds(20), Routes(), { MakeBackend("b1", "plain", backend) });
  net::RawClient client(daemon.CallerAddress());
  client.Send("POST / HTTP/1.1\r\nHost: a.example\r\nId: c1\r\nContent-Length: 0\r\n\r\n");
  arrived.get_future().wait();
  DaemonFixture::StopAll();
  while (daemon.QueryReadiness() != "HTTP/1.1 503") {
  }
  mayAnswer.set_value();
  const std::string answer = client.ReadUntilClosed();
  daemon.WaitForEnd();
  CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
  CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
  CHECK_TRUE(answer.ends_with("done"));
}
