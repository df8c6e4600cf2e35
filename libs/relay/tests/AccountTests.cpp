// Requests that need the key of a client account.
#include "RelayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

namespace {

const accounts::ClientAccount kShop{ AccountName{ "shop" }, { "k1" }, std::nullopt };

ScriptedResponse Done(const std::string&)
{
  return { SignedResponse(200, "done") };
}

std::string StatusOf(const std::string& aAnswer)
{
  return aAnswer.substr(0, 12);
}

} // namespace

MASTICSTEP_TEST("a request with a key reaches its server under the account's name",
                "[relay][accounts]")
{
  ScriptedBackend backend(Done);
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  fixture.SetAccounts({ kShop });
  CHECK_EQUAL(std::string("HTTP/1.1 200"),
              StatusOf(fixture.SendRequest("POST", "/once/", "Key: k1\r\n")));
  CHECK_EQUAL(std::size_t{ 1 }, backend.Requests().size());
  CHECK_TRUE(backend.Requests()[0].find("Account: shop\r\n") != std::string::npos);
  CHECK_EQUAL(1U, fixture.UsageOf(kShop.name));
}

MASTICSTEP_TEST("requests without a valid key get 401 and reach no server", "[relay][accounts]")
{
  ScriptedBackend backend(Done);
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  fixture.SetAccounts({ kShop });
  for (const char* header : { "", "Key: k2\r\n", "Key: k\r\n", "Account: shop\r\n" }) {
    const std::string answer = fixture.SendRequest("POST", "/once/", header);
    CHECK_EQUAL(std::string("HTTP/1.1 401"), StatusOf(answer));
    CHECK_TRUE(answer.find("WWW-Authenticate: Key\r\n") != std::string::npos);
    CHECK_TRUE(answer.find("k2") == std::string::npos);
  }
  CHECK_TRUE(backend.Requests().empty());
  CHECK_EQUAL(0U, fixture.UsageOf(kShop.name));
}

// Guards against a withdrawn key that a daemon without contact to the store goes on accepting.
MASTICSTEP_TEST("keys are refused as not run once the configuration may be out of date",
                "[relay][accounts][failure]")
{
  ScriptedBackend backend(Done);
  RelayFixture fixture;
  fixture.Add("b1", "plain", backend);
  fixture.SetAccounts({ kShop });
  accounts::ConfigurationFreshness stale(Seconds(5));
  stale.OnPeerReading({ 4, net::Now() - Seconds(6) }, 4);
  fixture.SetFreshness(stale);
  const std::string refused = fixture.SendRequest("POST", "/once/", "Key: k1\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 503"), StatusOf(refused));
  CHECK_TRUE(refused.find("Retry-After: ") != std::string::npos);
  CHECK_TRUE(backend.Requests().empty());
  stale.OnPeerReading({ 4, net::Now() }, 4);
  fixture.SetFreshness(stale);
  CHECK_EQUAL(std::string("HTTP/1.1 200"),
              StatusOf(fixture.SendRequest("POST", "/once/", "Key: k1\r\n")));
}

MASTICSTEP_TEST("a key that is withdrawn between two attempts is not used again",
                "[relay][accounts][failure]")
{
  RelayFixture fixture;
  ScriptedBackend failing([&](const std::string&) {
    fixture.SetAccounts({ { kShop.name, {}, std::nullopt } });
    return ScriptedResponse{ {}, ScriptedResponse::Then::Reset };
  });
  ScriptedBackend other(Done);
  fixture.Add("b1", "plain", failing);
  fixture.Add("b2", "plain", other);
  fixture.SetAccounts({ kShop });
  const std::string answer = fixture.SendRequest("POST", "/again/", "Key: k1\r\n");
  CHECK_EQUAL(std::string("HTTP/1.1 502"), StatusOf(answer));
  CHECK_EQUAL(std::size_t{ 1 }, failing.Requests().size());
  CHECK_TRUE(other.Requests().empty());
}

MASTICSTEP_TEST("prefill and decoding of a prompt both name the account", "[relay][accounts]")
{
  ScriptedBackend prefill(
    [](const std::string&) { return ScriptedResponse{ SignedResponse(200, "h1") }; });
  ScriptedBackend decode([](const std::string&) {
    return ScriptedResponse{ StreamHead() + Events(1, 3) + StreamEnd() };
  });
  RelayFixture fixture;
  fixture.Add("p1", "llm", prefill, dispatch::Stage::Prefill);
  fixture.Add("d1", "llm", decode, dispatch::Stage::Decode);
  fixture.SetAccounts({ kShop });
  const std::string answer = fixture.SendRequest("POST", "/stream/", "Key: k1\r\n");
  CHECK_TRUE(answer.ends_with(StreamEnd()));
  for (const ScriptedBackend* engine : { &prefill, &decode }) {
    CHECK_TRUE(engine->Requests().at(0).find("Account: shop\r\n") != std::string::npos);
  }
  CHECK_EQUAL(1U, fixture.UsageOf(kShop.name));
}
