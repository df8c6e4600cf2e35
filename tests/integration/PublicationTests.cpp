// Operators who publish at the same time.
#include "common/JsonFields.hpp"
#include "support/Fleet.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::integration;

namespace {

constexpr Duration kLimit = Seconds(60);
constexpr int kConflict = 3;

bool AllHave(Fleet& aFleet, std::int64_t aGeneration)
{
  for (std::size_t i = 0; i < aFleet.DaemonCount(); ++i) {
    if (aFleet.Daemon(i).Generation() != aGeneration) {
      return false;
    }
  }
  return true;
}

void CheckSucceeds(Process& aCommand)
{
  const std::optional<int> code = aCommand.WaitForEnd(kLimit);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aCommand.ErrorText(), 0, code.value_or(-1));
}

} // namespace

// Guards against a configuration that overwrites another one unseen, and a generation that is lost.
MASTICSTEP_TEST("of two publishers of one service one may win and none is lost unseen",
                "[integration][publish]")
{
  Fleet fleet({});
  // Both publishers read the manifest before either of them has replaced it.
  fleet.Platform().SetFaults(boost::json::object{ { "latency_ms", 300 } });
  std::int64_t generation = fleet.Daemon(0).Generation();
  bool sawConflict = false;
  for (std::int64_t round = 0; round < 10 && !sawConflict; ++round) {
    const std::string left = fleet.WriteDrafting("left/drafting", 40000 + round);
    const std::string right = fleet.WriteDrafting("right/drafting", 50000 + round);
    const std::unique_ptr<Process> first = fleet.StartPublish({ left }, false);
    const std::unique_ptr<Process> second = fleet.StartPublish({ right }, false);
    const int firstCode = first->WaitForEnd(kLimit).value_or(-1);
    const int secondCode = second->WaitForEnd(kLimit).value_or(-1);
    CPPUNIT_ASSERT_MESSAGE(first->ErrorText(), firstCode == 0 || firstCode == kConflict);
    CPPUNIT_ASSERT_MESSAGE(second->ErrorText(), secondCode == 0 || secondCode == kConflict);
    CHECK_TRUE(firstCode == 0 || secondCode == 0);
    generation += (firstCode == 0 ? 1 : 0) + (secondCode == 0 ? 1 : 0);
    sawConflict = firstCode != secondCode;
  }
  CHECK_TRUE(sawConflict);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return AllHave(fleet, generation); }));
}

// Guards against a publisher of one service that stops, or undoes, the publisher of another.
MASTICSTEP_TEST("publishers of different services both succeed", "[integration][publish]")
{
  Fleet fleet({});
  fleet.Platform().SetFaults(boost::json::object{ { "latency_ms", 300 } });
  const std::int64_t generation = fleet.Daemon(0).Generation();
  const std::unique_ptr<Process> first =
    fleet.StartPublish({ fleet.WriteDrafting("drafting", 40000) }, false);
  const std::unique_ptr<Process> second =
    fleet.StartPublish({ fleet.WriteOrdering("ordering", 4000) }, false);
  CheckSucceeds(*first);
  CheckSucceeds(*second);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return AllHave(fleet, generation + 2); }));
}

// Guards against a publisher that waits in vain, or returns before every daemon has the
// configuration.
MASTICSTEP_TEST("publishing with --wait ends when the configuration is in force",
                "[integration][publish]")
{
  FleetShape shape;
  shape.dataCentres = 2;
  Fleet fleet(shape);
  const std::int64_t generation = fleet.Daemon(0).Generation();
  const std::unique_ptr<Process> publish =
    fleet.StartPublish({ fleet.WriteDrafting("drafting", 40000) }, true);
  CheckSucceeds(*publish);
  CHECK_TRUE(AllHave(fleet, generation + 1));
}

// Guards against a publisher that takes a lost answer for a failure, or publishes twice.
MASTICSTEP_TEST("a publisher settles a lost answer by reading back", "[integration][publish]")
{
  Fleet fleet({});
  const std::int64_t generation = fleet.Daemon(0).Generation();
  fleet.Platform().SetFaults(boost::json::object{ { "lose_answers", 2 } });
  const std::unique_ptr<Process> publish =
    fleet.StartPublish({ fleet.WriteDrafting("drafting", 40000) }, false);
  CheckSucceeds(*publish);
  CHECK_EQUAL(std::uint64_t{ 2 }, fleet.Platform().Counter("lost_answers"));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return AllHave(fleet, generation + 1); }));
}

// Guards against a data centre that keeps an old configuration, or stops serving, because only its
// peers reach the platform.
MASTICSTEP_TEST("a data centre cut off from the platform gets configurations from peers",
                "[integration][publish][partition]")
{
  FleetShape shape;
  shape.dataCentres = 2;
  shape.hasPlatformProxies = true;
  Fleet fleet(shape);
  const std::int64_t generation = fleet.Daemon(0).Generation();
  fleet.PlatformProxy(1).SetFaults(boost::json::object{ { "refuse", true }, { "cut", true } });
  const std::unique_ptr<Process> publish =
    fleet.StartPublish({ fleet.WriteDrafting("drafting", 40000) }, false);
  CheckSucceeds(*publish);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return AllHave(fleet, generation + 1); }));
  for (std::size_t daemon = 0; daemon < fleet.DaemonCount(); ++daemon) {
    const standins::CompletionCall call = fleet.Completion(daemon, "cut off", 10);
    CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
  }
  const std::string key = NewOrderKey();
  const standins::HttpReply refused = fleet.PlaceOrder(2, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(refused.body, std::string("not_run"), RunOf(refused));
  CHECK_EQUAL(std::int64_t{ 0 }, fleet.Executions(key));
}
