// Planned stops, leaving engines and paused daemons, under load.
#include "support/CallerLoad.hpp"

#include "masticstep/testing/Test.hpp"

#include <csignal>

using namespace masticstep;
using namespace masticstep::integration;
using standins::CompletionCall;
using standins::HttpReply;

namespace {

constexpr std::size_t kCallers = 8;
constexpr std::uint32_t kTokens = 40;
constexpr Duration kLimit = Seconds(60);
// Longest time that the design page allows between a notice and its effect on every daemon.
constexpr Duration kNoticeBound = Seconds(5);

// Stands for a process that did not end.
constexpr int kStillRunning = -1;

// Returns the exit code, or 128 + the signal that ended the process.
int StopGracefully(DaemonProcess& aDaemon)
{
  aDaemon.Child().Signal(SIGTERM);
  return aDaemon.Child().WaitForEnd(kLimit).value_or(kStillRunning);
}

} // namespace

// Guards against a planned stop that cuts requests or ends with an error.
MASTICSTEP_TEST("a daemon stops under load without cutting a request", "[integration][drain]")
{
  Fleet fleet({});
  CallerLoad load(fleet, kCallers, kTokens);
  CHECK_TRUE(load.WaitForMore(20));
  CHECK_EQUAL(0, StopGracefully(fleet.Daemon(0)));
  CHECK_TRUE(load.WaitForMore(20));
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
}

// Guards against a drain through the admin address that differs from SIGTERM.
MASTICSTEP_TEST("a daemon drains by an admin call under load", "[integration][drain]")
{
  Fleet fleet({});
  CallerLoad load(fleet, kCallers, kTokens);
  CHECK_TRUE(load.WaitForMore(20));
  CHECK_TRUE(fleet.Daemon(1).Admin("POST", "/drain").status < 300);
  CHECK_EQUAL(0, fleet.Daemon(1).Child().WaitForEnd(kLimit).value_or(kStillRunning));
  CHECK_TRUE(load.WaitForMore(20));
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
}

// Guards against new work for an engine that the platform lists as leaving, and against cutting
// what runs there.
MASTICSTEP_TEST("a leaving engine finishes its work and gets no more", "[integration][drain]")
{
  Fleet fleet({});
  CallerLoad load(fleet, kCallers, kTokens);
  CHECK_TRUE(load.WaitForMore(20));
  CHECK_TRUE(fleet.Engine(0).Counter("requests") > 0);
  const HttpReply notice =
    fleet.Platform().Put("/objects/hosts/draft-0", R"({"name": "draft-0", "state": "leaving"})");
  CHECK_EQUAL(200U, notice.status);
  const Time noticed = ClockNow();
  while (ClockNow() < noticed + kNoticeBound) {
    CHECK_TRUE(load.WaitForMore(1));
  }
  const std::uint64_t before = fleet.Engine(0).Counter("requests");
  CHECK_TRUE(load.WaitForMore(60));
  CHECK_EQUAL(before, fleet.Engine(0).Counter("requests"));
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
  CHECK_EQUAL(before, fleet.Engine(0).Counter("finished"));
}

// Guards against peers that wait for a paused daemon, and a daemon that acts on stale state when it
// goes on.
MASTICSTEP_TEST("a daemon is paused and goes on", "[integration][pause]")
{
  Fleet fleet({});
  const std::string key = NewOrderKey();
  CHECK_EQUAL(200U, fleet.PlaceOrder(1, key).status);
  const std::int64_t generation = fleet.Daemon(0).Generation();
  fleet.Daemon(1).Child().Signal(SIGSTOP);
  for (std::size_t i = 0; i < 10; ++i) {
    const CompletionCall call = fleet.Completion(0, "pause " + std::to_string(i), 10);
    CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
  }
  const std::string during = NewOrderKey();
  CHECK_TRUE(WaitUntil(kLimit, [&] { return fleet.PlaceOrder(0, during).status == 200; }));
  const std::unique_ptr<Process> publish =
    fleet.StartPublish({ fleet.WriteDrafting("drafting", 50000) }, false);
  CHECK_EQUAL(0, publish->WaitForEnd(kLimit).value_or(kStillRunning));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return fleet.Daemon(0).Generation() > generation; }));
  fleet.Daemon(1).Child().Signal(SIGCONT);
  CHECK_TRUE(WaitUntil(kLimit, [&] { return fleet.Daemon(1).Generation() > generation; }));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return fleet.Daemon(1).IsReady(); }));
  const CompletionCall call = fleet.Completion(1, "after the pause", 10);
  CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
  for (const std::string& placed : { key, during }) {
    const HttpReply again = fleet.PlaceOrder(1, placed);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(again.body, 200U, again.status);
    CHECK_EQUAL(std::int64_t{ 1 }, fleet.Executions(placed));
  }
}

// Guards against a replacement of the fleet that callers notice.
MASTICSTEP_TEST("all daemons are replaced one after the other under load", "[integration][drain]")
{
  FleetShape shape;
  shape.daemons = 3;
  Fleet fleet(shape);
  CallerLoad load(fleet, kCallers, kTokens);
  CHECK_TRUE(load.WaitForMore(20));
  for (std::size_t i = 0; i < fleet.DaemonCount(); ++i) {
    CHECK_EQUAL(0, StopGracefully(fleet.Daemon(i)));
    fleet.Daemon(i).Start();
    CHECK_TRUE(WaitUntil(kLimit, [&fleet, i] { return fleet.Daemon(i).IsReady(); }));
    CHECK_TRUE(load.WaitForMore(20));
  }
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
}

// Guards against a daemon that cannot start without the platform although its peers can help.
MASTICSTEP_TEST("a daemon that starts in a platform outage serves from its peers' configuration",
                "[integration][restart]")
{
  Fleet fleet({});
  const std::int64_t generation = fleet.Daemon(1).Generation();
  fleet.Platform().SetFaults(boost::json::object{ { "outage", true } });
  fleet.Daemon(0).Child().Signal(SIGKILL);
  CHECK_TRUE(fleet.Daemon(0).Child().WaitForEnd(kLimit).has_value());
  fleet.Daemon(0).Start();
  CHECK_TRUE(WaitUntil(kLimit, [&fleet] { return fleet.Daemon(0).IsReady(); }));
  CHECK_EQUAL(generation, fleet.Daemon(0).Generation());
  const CompletionCall call = fleet.Completion(0, "after the restart", 10);
  CHECK_TRUE(standins::StreamCompletionBlocking(call).IsWholeAnswerTo(call));
}
