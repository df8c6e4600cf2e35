// Requests of a data centre whose own engines are gone.
#include "support/Fleet.hpp"

#include "masticstep/testing/Test.hpp"

#include <csignal>

using namespace masticstep;
using namespace masticstep::integration;

namespace {

constexpr Duration kLimit = Seconds(60);

std::string StateOf(Fleet& aFleet, std::size_t aDaemon, const std::string& aEngine)
{
  const boost::json::object status = aFleet.Daemon(aDaemon).Status();
  const boost::json::value* engines = status.if_contains("engines");
  if (engines == nullptr || !engines->is_array()) {
    return {};
  }
  for (const boost::json::value& engine : engines->get_array()) {
    if (engine.at("name").as_string() == aEngine) {
      return engine.at("state").as_string().c_str();
    }
  }
  return {};
}

} // namespace

// Guards against requests that are refused while another data centre has healthy engines, and
// against sending them to engines that this data centre cannot know to be dead by itself.
MASTICSTEP_TEST("a data centre without engines sends requests to usable ones elsewhere",
                "[integration][summary]")
{
  FleetShape shape;
  shape.dataCentres = 2;
  Fleet fleet(shape);
  fleet.Engine(2).Child().Signal(SIGKILL);
  // No request has gone there, so that only a summary can tell.
  CHECK_TRUE(WaitUntil(kLimit, [&fleet] { return StateOf(fleet, 0, "draft-2") == "down"; }));
  CHECK_EQUAL(std::string("ready"), StateOf(fleet, 0, "draft-3"));
  fleet.Engine(0).Child().Signal(SIGKILL);
  fleet.Engine(1).Child().Signal(SIGKILL);
  const std::uint64_t before = fleet.Engine(3).Counter("requests");
  constexpr std::uint64_t kRequests = 10;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    const standins::CompletionCall call = fleet.Completion(0, "far " + std::to_string(i), 10);
    const standins::CompletionResult result = standins::StreamCompletionBlocking(call);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(result.status) + " " + result.error,
                           result.IsWholeAnswerTo(call));
  }
  CHECK_EQUAL(before + kRequests, fleet.Engine(3).Counter("requests"));
}
