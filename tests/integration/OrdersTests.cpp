// Calls that must not run twice, through real processes while answers and the platform fail.
#include "support/CallerLoad.hpp"

#include "masticstep/testing/Test.hpp"

#include <csignal>

using namespace masticstep;
using namespace masticstep::integration;
using standins::HttpReply;

namespace {

constexpr Duration kLimit = Seconds(60);

std::string TextOf(const HttpReply& aReply)
{
  return std::to_string(aReply.status) + " " + aReply.body + aReply.error;
}

// Waits until an order with a new key runs on the daemon.
bool IsServedAgain(Fleet& aFleet, std::size_t aDaemon)
{
  return WaitUntil(kLimit, [&aFleet, aDaemon] {
    const std::string key = NewOrderKey();
    const bool isPlaced = aFleet.PlaceOrder(aDaemon, key).status == 200;
    return isPlaced && aFleet.Executions(key) == 1;
  });
}

} // namespace

// Guards against orders that run again when they are asked for again, on any daemon.
MASTICSTEP_TEST("an order runs once and its answer is repeated", "[integration][order]")
{
  Fleet fleet({});
  const std::string key = NewOrderKey();
  const HttpReply first = fleet.PlaceOrder(0, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(first), 200U, first.status);
  for (std::size_t daemon = 0; daemon < fleet.DaemonCount(); ++daemon) {
    const HttpReply again = fleet.PlaceOrder(daemon, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(again), 200U, again.status);
    CHECK_EQUAL(first.body, again.body);
  }
  CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
}

// Guards against two daemons that run one order because both were asked at the same time.
MASTICSTEP_TEST("an order placed on two daemons at once runs once", "[integration][order]")
{
  Fleet fleet({});
  for (std::size_t round = 0; round < 10; ++round) {
    const std::string key = NewOrderKey();
    HttpReply first;
    std::thread other([&fleet, &key, &first] { first = fleet.PlaceOrder(0, key); });
    const HttpReply second = fleet.PlaceOrder(1, key);
    other.join();
    CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
    for (const HttpReply& reply : { first, second }) {
      CPPUNIT_ASSERT_MESSAGE(TextOf(reply), reply.status == 200 || RunOf(reply) == "unknown");
    }
  }
}

// Guards against an order that is run again, or called "not run", because its answer was lost.
MASTICSTEP_TEST("an order whose answer is lost is unknown and never runs twice",
                "[integration][order]")
{
  Fleet fleet({});
  const std::string key = NewOrderKey();
  fleet.Ordering().SetFaults(boost::json::object{ { "lose_answers", 1 } });
  const HttpReply first = fleet.PlaceOrder(0, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(first), std::string("unknown"), RunOf(first));
  const HttpReply again = fleet.PlaceOrder(1, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(again), std::string("unknown"), RunOf(again));
  CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
}

// Guards against an order that is run again, or called "not run", because its answer was late.
MASTICSTEP_TEST("an order whose answer is late is unknown and never runs twice",
                "[integration][order]")
{
  Fleet fleet({});
  const std::string key = NewOrderKey();
  fleet.Ordering().SetFaults(boost::json::object{ { "late_answer_ms", 8000 } });
  const HttpReply first = fleet.PlaceOrder(0, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(first), std::string("unknown"), RunOf(first));
  fleet.Ordering().SetFaults(boost::json::object{ { "late_answer_ms", 0 } });
  const HttpReply again = fleet.PlaceOrder(1, key);
  // The late answer may have been recorded by then.
  CPPUNIT_ASSERT_MESSAGE(TextOf(again), again.status == 200 || RunOf(again) == "unknown");
  CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
}

// Guards against completions that need the platform, orders that run without a durable claim, and
// daemons that do not recover.
MASTICSTEP_TEST("in a platform outage completions go on and orders are refused",
                "[integration][order]")
{
  Fleet fleet({});
  fleet.Platform().SetFaults(boost::json::object{ { "outage", true } });
  const std::string key = NewOrderKey();
  for (std::size_t daemon = 0; daemon < fleet.DaemonCount(); ++daemon) {
    const standins::CompletionCall call = fleet.Completion(daemon, "outage", 20);
    CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
    const HttpReply refused = fleet.PlaceOrder(daemon, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(refused), std::string("not_run"), RunOf(refused));
  }
  CHECK_EQUAL(std::int64_t{ 0 }, fleet.Executions(key));
  fleet.Platform().SetFaults(boost::json::object{ { "outage", false } });
  for (std::size_t daemon = 0; daemon < fleet.DaemonCount(); ++daemon) {
    CHECK_TRUE(IsServedAgain(fleet, daemon));
  }
}

// Guards against orders that hang on a silent platform, or run after they were refused.
MASTICSTEP_TEST("while the platform is silent orders are refused", "[integration][order]")
{
  Fleet fleet({});
  fleet.Platform().SetFaults(boost::json::object{ { "silent", true } });
  const std::string key = NewOrderKey();
  const HttpReply reply = fleet.PlaceOrder(0, key);
  fleet.Platform().SetFaults(boost::json::object{ { "silent", false } });
  // A claim that was sent may still be taken, so the daemon may also say that it does not know.
  CPPUNIT_ASSERT_MESSAGE(TextOf(reply), RunOf(reply) == "not_run" || RunOf(reply) == "unknown");
  // The claim may have been taken late; it is then settled for good, and nothing has run.
  const HttpReply again = fleet.PlaceOrder(0, key);
  const std::int64_t executions = fleet.Executions(key);
  CPPUNIT_ASSERT_MESSAGE(TextOf(again), again.status == 200
                                          ? executions == 1
                                          : !RunOf(again).empty() && executions == 0);
  CHECK_TRUE(IsServedAgain(fleet, 0));
}

// Guards against a daemon that takes a write whose answer was lost for one that was not made.
MASTICSTEP_TEST("an order goes on after the answer of its claim is lost", "[integration][order]")
{
  Fleet fleet({});
  for (std::uint64_t round = 1; round <= 5; ++round) {
    const std::string key = NewOrderKey();
    fleet.Platform().SetFaults(boost::json::object{ { "lose_answers", 1 } });
    const HttpReply first = fleet.PlaceOrder(0, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(first), 200U, first.status);
    CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
    CHECK_TRUE(fleet.Platform().Counter("lost_answers") >= round);
    const HttpReply again = fleet.PlaceOrder(1, key);
    CHECK_EQUAL(first.body, again.body);
    CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
  }
}

// Guards against another daemon that runs an order again because the first one died with it.
MASTICSTEP_TEST("an order whose daemon is killed is unknown and never runs twice",
                "[integration][order]")
{
  Fleet fleet({});
  const std::string key = NewOrderKey();
  fleet.Ordering().SetFaults(boost::json::object{ { "late_answer_ms", 3000 } });
  HttpReply lost;
  std::thread caller([&fleet, &key, &lost] { lost = fleet.PlaceOrder(0, key); });
  const bool hasRun = WaitUntil(kLimit, [&] { return fleet.Executions(key) == 1; });
  fleet.Daemon(0).Child().Signal(SIGKILL);
  caller.join();
  CHECK_TRUE(hasRun);
  CHECK_EQUAL(0U, lost.status);
  fleet.Ordering().SetFaults(boost::json::object{ { "late_answer_ms", 0 } });
  const HttpReply again = fleet.PlaceOrder(1, key);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(TextOf(again), std::string("unknown"), RunOf(again));
  CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(key));
  CHECK_TRUE(IsServedAgain(fleet, 1));
}

// Guards against a daemon that, after a pause past the deadline, runs an order that it or another
// daemon has answered.
MASTICSTEP_TEST("an order whose daemon is paused runs at most once", "[integration][order][pause]")
{
  Fleet fleet({});
  // The claim is under way for two seconds, in which the daemon is paused.
  fleet.Platform().SetFaults(boost::json::object{ { "latency_ms", 2000 } });
  const std::string key = NewOrderKey();
  HttpReply first;
  const std::uint64_t before = fleet.Platform().Counter("writes");
  std::thread caller([&fleet, &key, &first] { first = fleet.PlaceOrder(0, key); });
  const bool isClaiming =
    WaitUntil(kLimit, [&] { return fleet.Platform().Counter("writes") > before; });
  fleet.Daemon(0).Child().Signal(SIGSTOP);
  fleet.Platform().SetFaults(boost::json::object{ { "latency_ms", 2 } });
  HttpReply second;
  const bool isSettled = WaitUntil(kLimit, [&] {
    second = fleet.PlaceOrder(1, key);
    return second.status == 200 || RunOf(second) == "unknown";
  });
  fleet.Daemon(0).Child().Signal(SIGCONT);
  caller.join();
  CHECK_TRUE(isClaiming);
  CHECK_TRUE(isSettled);
  CPPUNIT_ASSERT_MESSAGE(TextOf(first), first.status == 200 || !RunOf(first).empty());
  const std::int64_t executions = fleet.Executions(key);
  CHECK_TRUE(executions <= 1);
  // Whoever says that the order has an answer, or has not run, says the truth.
  for (const HttpReply& reply : { first, second }) {
    CPPUNIT_ASSERT_MESSAGE(TextOf(reply), reply.status != 200 || executions == 1);
    CPPUNIT_ASSERT_MESSAGE(TextOf(reply), RunOf(reply) != "not_run" || executions == 0);
  }
}
