#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

// Guards against a connection that ends with a part of a request and leaves no trace.
MASTICSTEP_TEST("a request that ends early is refused and counted", "[relay][end]")
{
  RelayFixture fixture;
  const std::unique_ptr<net::RawClient> caller = fixture.Connect();
  caller->Send("POST /once/ HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
  caller->EndSending();
  const std::string answer = caller->ReadUntilClosed();
  CHECK_EQUAL(std::string("HTTP/1.1 400 "), answer.substr(0, 13));
  CHECK_TRUE(answer.find("request ended early") != std::string::npos);
  CHECK_EQUAL(std::uint64_t{ 1 }, fixture.ConnectionEnds("body_end_of_input"));
}

// Guards against a request that is dropped because its caller sends no other.
MASTICSTEP_TEST("a caller that ended its sending side gets the answer of its server",
                "[relay][end]")
{
  ScriptedBackend backend([](const std::string&) {
    return ScriptedResponse{ SignedResponse(200, "done"), ScriptedResponse::Then::KeepOpen };
  });
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  const std::unique_ptr<net::RawClient> caller = fixture.Connect();
  caller->Send(RelayFixture::RequestText("POST", "/once/"));
  caller->EndSending();
  const std::string answer = caller->ReadUntilClosed();
  CHECK_EQUAL(std::string("HTTP/1.1 200 "), answer.substr(0, 13));
  CHECK_TRUE(answer.ends_with("\r\n\r\ndone"));
}
