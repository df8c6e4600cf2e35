#include "QuarantineExchange.hpp"

#include "RelayFixture.hpp"
#include "SynchronousStore.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/wire/CrashReport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

constexpr std::uint64_t kPart = 0xdead5;
const std::string kPrefix = "masticstep-quarantined-parts/";

// One daemon without peers.
struct DaemonParts
{
  explicit DaemonParts(std::shared_ptr<SynchronousStore> aStore)
    : store(std::move(aStore))
  {
  }

  void Write(const std::string& aName, const std::string& aBody)
  {
    const platform::ObjectKey key{ kPrefix + aName };
    store->Submit({ 1, platform::ConditionalWrite{ key, std::nullopt, aBody } },
                  [](const platform::PlatformReply&) {});
  }
  void RunSync(Duration aLength)
  {
    boost::asio::co_spawn(
      context, [this] { return exchange->SyncWithStore(); }, boost::asio::detached);
    context.run_for(aLength);
  }
  bool IsQuarantined(std::uint64_t aPart) const
  {
    return state->quarantine.QuarantinedUntil({ aPart }, net::Now()).has_value();
  }

  std::shared_ptr<SynchronousStore> store;
  boost::asio::io_context context{ 1 };
  std::shared_ptr<RelayState> state = std::make_shared<RelayState>(
    context.get_executor(), std::make_shared<TestDialect>(), dispatch::Locality{}, 1);
  std::shared_ptr<QuarantineExchange> exchange =
    std::make_shared<QuarantineExchange>(state, nullptr, store, 1);
};

} // namespace

// Guards against a restarted daemon that sends a quarantined part, and against entries of other
// writers.
MASTICSTEP_TEST("quarantined parts are read from the store at start", "[relay][quarantine]")
{
  DaemonParts daemon(std::make_shared<SynchronousStore>());
  daemon.Write("dead5", R"({"until_ms":4102444800000})");
  daemon.Write("7", "no json");
  daemon.Write("8", R"({"until_ms":1000})");
  daemon.Write("xyz", R"({"until_ms":4102444800000})");
  daemon.RunSync(Milliseconds(50));
  CHECK_TRUE(daemon.IsQuarantined(kPart));
  CHECK_TRUE(daemon.IsQuarantined(7));
  CHECK_FALSE(daemon.IsQuarantined(8));
  const std::optional<Time> until =
    daemon.state->quarantine.QuarantinedUntil({ kPart }, net::Now());
  CHECK_TRUE(*until <= net::Now() + quarantine::PromptQuarantine::kDuration);
}

MASTICSTEP_TEST("a part in quarantine is written to the store, and removed after its end",
                "[relay][quarantine]")
{
  DaemonParts daemon(std::make_shared<SynchronousStore>());
  daemon.Write("8", R"({"until_ms":1000})");
  daemon.state->quarantine.Quarantine({ kPart, net::Now() + Seconds(300) }, net::Now());
  daemon.RunSync(Milliseconds(1300));
  CHECK_TRUE(daemon.store->Read(platform::ObjectKey{ kPrefix + "dead5" }).find("until_ms") !=
             std::string::npos);
  CHECK_TRUE(daemon.store->Read(platform::ObjectKey{ kPrefix + "8" }).empty());
}

// Guards against a part that is sent again after a restart, since the restored store has lost its
// entry, and against entries of ended quarantines that return with an older copy.
MASTICSTEP_TEST("a restored store gets the parts that are in quarantine",
                "[relay][quarantine][restored]")
{
  DaemonParts daemon(std::make_shared<SynchronousStore>());
  daemon.Write("8", R"({"until_ms":4102444800000})");
  const platform::InMemoryPlatform copy = daemon.store->Copy();
  daemon.RunSync(Milliseconds(50));
  daemon.state->quarantine.OnAnswered({ 8 }, net::Now());
  daemon.state->quarantine.Quarantine({ kPart, net::Now() + Seconds(300) }, net::Now());
  daemon.context.run_for(Milliseconds(1200));
  CHECK_TRUE(daemon.store->Read(platform::ObjectKey{ kPrefix + "8" }).empty());
  daemon.store->RestoreFrom(copy);
  daemon.state->storeSync.storeEra = 1;
  daemon.context.run_for(Milliseconds(1200));
  CHECK_FALSE(daemon.store->Read(platform::ObjectKey{ kPrefix + "dead5" }).empty());
  CHECK_TRUE(daemon.store->Read(platform::ObjectKey{ kPrefix + "8" }).empty());
  CHECK_FALSE(daemon.IsQuarantined(8));
}

// Guards against a malformed datagram that stops a daemon or adds to its evidence.
MASTICSTEP_TEST("a peer's crash report is applied and a malformed one is not",
                "[relay][quarantine]")
{
  DaemonParts daemon(std::make_shared<SynchronousStore>());
  const std::string datagram = wire::EncodeCrashReport({ {}, { { kPart, Seconds(300) } }, {} });
  daemon.exchange->Apply(datagram.substr(0, datagram.size() / 2));
  CHECK_FALSE(daemon.IsQuarantined(kPart));
  daemon.exchange->Apply(datagram);
  CHECK_TRUE(daemon.IsQuarantined(kPart));
}
