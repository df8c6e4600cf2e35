#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;

MASTICSTEP_TEST("each form of the command line is parsed", "[cli]")
{
  const Result<Command, UsageError> serve = ParseCommandLine({ "serve", "--settings", "s.json" });
  CHECK_TRUE(serve.has_value() && serve->kind == CommandKind::Serve);
  CHECK_EQUAL(std::string("s.json"), serve->settingsFile);
  const Result<Command, UsageError> publish =
    ParseCommandLine({ "publish", "a", "b", "--platform", "http://127.0.0.1:1", "--wait" });
  CHECK_TRUE(publish.has_value() && publish->kind == CommandKind::Publish);
  CHECK_EQUAL(2U, publish->folders.size());
  CHECK_TRUE(publish->wait);
  const Result<Command, UsageError> status =
    ParseCommandLine({ "status", "--json", "--admin", "127.0.0.1:5" });
  CHECK_TRUE(status.has_value() && status->json && status->adminAddress.port == 5);
  const Result<Command, UsageError> explain =
    ParseCommandLine({ "explain", "--around", "2", "abc", "x.log", "y.log" });
  CHECK_TRUE(explain.has_value() && explain->kind == CommandKind::Explain);
  CHECK_EQUAL(std::string("abc"), explain->requestId);
  CHECK_EQUAL(2U, explain->logFiles.size());
  CHECK_TRUE(explain->around == Seconds(2));
  CHECK_TRUE(ParseCommandLine({ "--version" })->text.starts_with("masticstep "));
  CHECK_TRUE(ParseCommandLine({ "--help" })->text.find("Usage:") != std::string::npos);
}

// Guards against a mistyped command line that runs a different command.
MASTICSTEP_TEST("invalid arguments are a usage error", "[cli]")
{
  CHECK_FALSE(ParseCommandLine({}).has_value());
  CHECK_FALSE(ParseCommandLine({ "serve" }).has_value());
  CHECK_FALSE(ParseCommandLine({ "publish", "a" }).has_value());
  CHECK_FALSE(ParseCommandLine({ "publish", "a", "--platform", "nowhere" }).has_value());
  CHECK_FALSE(ParseCommandLine({ "status", "--admin", "here" }).has_value());
  CHECK_FALSE(
    ParseCommandLine({ "publish", "a", "--platform", "http://127.0.0.1:1", "--timeout", "0" })
      .has_value());
}

MASTICSTEP_TEST("the share of second tries is checked", "[cli]")
{
  CHECK_EQUAL(0.0, ParseCommandLine({ "relay" })->secondTries);
  CHECK_EQUAL(0.02, ParseCommandLine({ "relay", "--second-tries", "0.02" })->secondTries);
  for (const char* share : { "0.2", "-0.01", "two", "0.01x", "nan" }) {
    CHECK_FALSE(ParseCommandLine({ "relay", "--second-tries", share }).has_value());
  }
}
