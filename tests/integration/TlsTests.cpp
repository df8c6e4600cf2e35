// TLS between callers and daemons and among daemons, with real processes.
#include "support/Fleet.hpp"
#include "support/TlsCaller.hpp"

#include "common/JsonFields.hpp"
#include "masticstep/testing/Test.hpp"

#include <set>

using namespace masticstep;
using namespace masticstep::integration;
using standins::CompletionCall;
using standins::CompletionResult;

namespace {

constexpr Duration kLimit = Seconds(60);

// Returns the hosts that a daemon counts as members.
std::set<std::string> MembersOf(const DaemonProcess& aDaemon)
{
  std::set<std::string> hosts;
  const boost::json::object status = aDaemon.Status();
  const boost::json::value* members = status.if_contains("members");
  if (members == nullptr || !members->is_array()) {
    return hosts;
  }
  for (const boost::json::value& member : members->get_array()) {
    hosts.insert(standins::StringField(member.get_object(), "host"));
  }
  return hosts;
}

FleetShape TlsShape()
{
  FleetShape shape;
  shape.hasTls = true;
  return shape;
}

} // namespace

// Guards against a caller port that cuts answers under TLS or also answers in the clear.
MASTICSTEP_TEST("callers get whole answers over TLS and none without", "[integration][tls]")
{
  Fleet fleet(TlsShape());
  const testing::CertificateFiles files = fleet.Authority().Issue("caller", 100, 30);
  for (std::size_t i = 0; i < fleet.DaemonCount(); ++i) {
    const CompletionCall call = fleet.Completion(i, "over TLS " + std::to_string(i), 20);
    const CompletionResult plain = standins::StreamCompletionBlocking(call);
    CHECK_EQUAL(0U, plain.status);
    CHECK_EQUAL(std::string(), plain.text);
    const CompletionResult result = StreamOverTls(call, files);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(result.status) + " " + result.error,
                           result.IsWholeAnswerTo(call));
  }
}

// Guards against a daemon of another authority that learns or spreads the fleet's state.
MASTICSTEP_TEST("a daemon of another authority is not a member", "[integration][tls]")
{
  const testing::TestAuthority strangers;
  Fleet fleet(TlsShape());
  const std::set<std::string> valid = { "host-0", "host-1" };
  const auto isWhole = [&] {
    return MembersOf(fleet.Daemon(0)) == valid && MembersOf(fleet.Daemon(1)) == valid;
  };
  CHECK_TRUE(WaitUntil(kLimit, isWhole));

  // A daemon with a valid certificate joins after the stranger has had its turn.
  DaemonProcess stranger(fleet.SettingsOfAnother("stranger", strangers), fleet.Folder());
  stranger.Start();
  const auto hasRefused = [&] {
    return fleet.Daemon(0).Child().OutputText().find("handshake: ") != std::string::npos;
  };
  CHECK_TRUE(WaitUntil(kLimit, hasRefused));
  DaemonProcess late(fleet.SettingsOfAnother("late", fleet.Authority()), fleet.Folder());
  late.Start();
  const std::set<std::string> all = { "host-0", "host-1", "late" };
  CHECK_TRUE(WaitUntil(kLimit, [&] { return MembersOf(late) == all; }));
  CHECK_TRUE(WaitUntil(kLimit, [&] { return MembersOf(fleet.Daemon(0)) == all; }));
  CHECK_TRUE(MembersOf(stranger) == std::set<std::string>{ "stranger" });
}
