// Requests that are sent to a second server because the first one is slow.
#include "RelayFixture.hpp"
#include "masticstep/testing/Test.hpp"

#include <atomic>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

constexpr int kLearning = 40; // requests after which the usual time is known
constexpr hedging::HedgeOptions kOptions{ 0.1 };
// Long compared to what a busy machine adds, so that usual answers are not taken for slow ones.
constexpr Duration kUsualTime = Milliseconds(40);

ScriptedResponse Fast(const std::string&)
{
  ScriptedResponse response;
  response.silence = kUsualTime;
  response.afterSilence = SignedResponse(200, "fast");
  return response;
}

// Answers fast until told to be slow.
class TurningBackend
{
public:
  TurningBackend()
    : server([this](const std::string&) {
      ScriptedResponse response = Fast({});
      if (isSlow) {
        response = { {}, ScriptedResponse::Then::KeepOpen };
        response.silence = Milliseconds(1500);
        response.afterSilence = SignedResponse(200, "slow");
      }
      return response;
    })
  {
  }

  std::atomic<bool> isSlow{ false };
  ScriptedBackend server;
};

void Learn(RelayFixture& aFixture, const std::string& aPath)
{
  for (int i = 0; i < kLearning; ++i) {
    aFixture.SendRequest("GET", aPath);
  }
}

} // namespace

MASTICSTEP_TEST("a slow server's request is answered by a second one, and the first is cancelled",
                "[relay][hedging]")
{
  TurningBackend first;
  ScriptedBackend second(Fast);
  RelayFixture fixture;
  fixture.SetHedging(kOptions);
  fixture.Add("b1", "plain", first.server);
  fixture.Add("b2", "plain", second);
  Learn(fixture, "/again/");
  // On a busy machine, some of the answers before were slow, too.
  const std::uint64_t sent = fixture.SecondTries("sent");
  const std::uint64_t won = fixture.SecondTries("won");
  first.isSlow = true;
  const std::string answer = fixture.SendRequest("GET", "/again/");
  CHECK_TRUE(answer.ends_with("fast"));
  CHECK_EQUAL(sent + 1, fixture.SecondTries("sent"));
  CHECK_EQUAL(won + 1, fixture.SecondTries("won"));
  first.server.WaitForClose();
}

// Guards against work that takes effect twice.
MASTICSTEP_TEST("a request that may not be repeated gets no second try", "[relay][hedging]")
{
  TurningBackend first;
  ScriptedBackend second(Fast);
  RelayFixture fixture;
  fixture.SetHedging(kOptions);
  fixture.Add("b1", "plain", first.server);
  fixture.Add("b2", "plain", second);
  Learn(fixture, "/once/");
  first.isSlow = true;
  CHECK_TRUE(fixture.SendRequest("POST", "/once/").ends_with("slow"));
  CHECK_TRUE(second.Requests().empty());
}

MASTICSTEP_TEST("without a share there are no second tries", "[relay][hedging]")
{
  TurningBackend first;
  ScriptedBackend second(Fast);
  RelayFixture fixture;
  fixture.Add("b1", "plain", first.server);
  fixture.Add("b2", "plain", second);
  Learn(fixture, "/again/");
  first.isSlow = true;
  CHECK_TRUE(fixture.SendRequest("GET", "/again/").ends_with("slow"));
  CHECK_TRUE(second.Requests().empty());
}

MASTICSTEP_TEST("a second try that fails leaves the answer of the first", "[relay][hedging]")
{
  TurningBackend first;
  ScriptedBackend second([](const std::string&) {
    return ScriptedResponse{ {}, ScriptedResponse::Then::Reset };
  });
  RelayFixture fixture;
  fixture.SetHedging(kOptions);
  fixture.Add("b1", "plain", first.server);
  fixture.Add("b2", "plain", second);
  Learn(fixture, "/again/");
  const std::size_t requests = second.Requests().size();
  const std::uint64_t lost = fixture.SecondTries("lost");
  first.isSlow = true;
  CHECK_TRUE(fixture.SendRequest("GET", "/again/").ends_with("slow"));
  CHECK_EQUAL(requests + 1, second.Requests().size());
  CHECK_EQUAL(lost + 1, fixture.SecondTries("lost"));
}
