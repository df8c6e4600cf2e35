#include "masticstep/config/Settings.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;

namespace {

constexpr const char* kValid = R"({"host":"regina-1","region":"regina","data_centre":"regina-a",
  "caller_address":"127.0.0.1:8080","peer_address":"127.0.0.1:7080","admin_address":"[::1]:9080",
  "platform_url":"http://127.0.0.1:7000/","peers":["127.0.0.1:7081"],
  "tls":{"certificate":"c","key":"k","authority":"a"},"limits":{"idle_ms":5000}})";

} // namespace

MASTICSTEP_TEST("valid settings are parsed with defaults for missing keys", "[config][settings]")
{
  const Result<Settings, Faults> settings = ParseSettings(kValid, "s");
  CHECK_TRUE(settings.has_value());
  CHECK_EQUAL(HostName("regina-1"), settings->host);
  CHECK_EQUAL(std::string("::1"), settings->adminAddress.ip);
  CHECK_EQUAL(std::string(), settings->platformUrl.path);
  CHECK_EQUAL(1U, settings->peers.size());
  CHECK_TRUE(settings->limits.idleTimeout == Seconds(5));
  CHECK_EQUAL(4U, settings->workers);
  CHECK_FALSE(settings->tls->callers);
}

// Guards against starting a daemon with an invalid setting.
MASTICSTEP_TEST("each invalid setting is reported with its path", "[config][settings]")
{
  const Result<Settings, Faults> settings = ParseSettings(
    R"({"host":"A","region":"r","data_centre":"d","caller_address":"localhost:1","peer_address":"1.2.3.4:99999",
    "admin_address":"127.0.0.1:1","platform_url":"https://127.0.0.1:1","peers":["x"],"workers":0,
    "log_level":"loud","limits":{"idle":1},"tls":{"certificate":"c","key":"k"}})",
    "s");
  CHECK_FALSE(settings.has_value());
  std::vector<std::string> paths;
  for (const Fault& fault : settings.error()) {
    paths.push_back(fault.path);
  }
  const std::vector<std::string> expected = {
    "$.host",    "$.caller_address", "$.peer_address",  "$.platform_url", "$.peers",
    "$.workers", "$.log_level",      "$.tls.authority", "$.limits.idle"
  };
  CHECK_TRUE(expected == paths);
}

// Guards against a shutdown that ends before the load balancer has stopped sending requests.
MASTICSTEP_TEST("a shutdown timeout below the balancer notice is rejected", "[config][settings]")
{
  std::string text = kValid;
  text.insert(1, R"("shutdown_ms":100,"balancer_notice_ms":200,)");
  const Result<Settings, Faults> settings = ParseSettings(text, "s");
  CHECK_FALSE(settings.has_value());
  CHECK_EQUAL(std::string("$.shutdown_ms"), settings.error()[0].path);
}

// Guards against a crash of the parser on corrupted input.
MASTICSTEP_TEST("corrupted settings are parsed or rejected without a crash",
                "[config][settings][property]")
{
  masticstep::testing::CheckProperty("corrupted settings", [](std::uint16_t aPosition, char aByte) {
    std::string text = kValid;
    text[aPosition % text.size()] = aByte;
    const Result<Settings, Faults> settings = ParseSettings(text, "s");
    // RapidCheck evaluates both sides of a captured ||, so the condition is computed first.
    const bool hasValueOrFaults = settings.has_value() || !settings.error().empty();
    RC_ASSERT(hasValueOrFaults);
  });
}
