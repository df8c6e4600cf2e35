#include "masticstep/quarantine/PromptQuarantine.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::quarantine;

namespace {

constexpr std::uint64_t kFirst = 1; // part that all prompts begin with
constexpr std::uint64_t kBad = 66;

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

EngineCrash Crash(const std::string& aProcess, double aSeconds, std::vector<SuspectPart> aParts)
{
  return { aProcess, At(aSeconds), std::move(aParts) };
}

bool IsQuarantined(const PromptQuarantine& aQuarantine, std::uint64_t aPart, double aSeconds)
{
  return aQuarantine.QuarantinedUntil({ aPart }, At(aSeconds)).has_value();
}

} // namespace

MASTICSTEP_TEST("a part of all prompts that crashed engines is quarantined", "[quarantine]")
{
  PromptQuarantine quarantine;
  quarantine.OnCrash(Crash("a", 0.0, { { kFirst, 0 }, { kBad, 1 }, { 7, 1 } }), At(0.0));
  quarantine.OnCrash(Crash("b", 0.3, { { kFirst, 0 }, { kBad, 1 }, { 8, 1 } }), At(0.3));
  CHECK_FALSE(IsQuarantined(quarantine, kBad, 0.5));
  quarantine.OnCrash(Crash("c", 0.6, { { kFirst, 0 }, { kBad, 1 }, { 7, 1 } }), At(0.6));
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 0.7));
  CHECK_FALSE(IsQuarantined(quarantine, kFirst, 0.7));
  CHECK_FALSE(IsQuarantined(quarantine, 7, 0.7));
}

// Guards against a request that crashes one engine more since others filled the suspects of a crash
// before it: daemons report what each of them had sent to the engine.
MASTICSTEP_TEST("a suspect of several crashes has a place among the many of a busy engine",
                "[quarantine][request][failure]")
{
  constexpr std::uint64_t kSuspectsOfEngine = 200;
  PromptQuarantine quarantine;
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    const std::string process = "p" + std::to_string(crash);
    const double at = 0.3 * static_cast<double>(crash);
    if (crash == 0) {
      quarantine.OnCrash(Crash(process, at, { { kBad, kRequestOfCaller } }), At(at));
    }
    for (std::uint64_t i = 0; i < kSuspectsOfEngine; ++i) {
      const std::uint64_t other = 1000 * (crash + 1) + i;
      quarantine.OnCrash(Crash(process, at, { { other, kRequestOfCaller } }), At(at));
    }
    quarantine.OnCrash(Crash(process, at, { { kBad, kRequestOfCaller } }), At(at));
  }
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 0.7));
  CHECK_EQUAL(std::size_t{ 1 }, quarantine.Active(At(0.7)).size());
}

// Guards against sound requests that are refused because they were on the engines that crashed.
MASTICSTEP_TEST("crashes that a quarantined part explains do not count against other parts",
                "[quarantine][failure]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 30; ++i) {
    const double at = 0.2 * i;
    quarantine.OnCrash(
      Crash("p" + std::to_string(i), at, { { kFirst, 0 }, { kBad, 1 }, { 100U + i % 3, 1 } }),
      At(at));
  }
  CHECK_EQUAL(std::size_t{ 1 }, quarantine.Active(At(7.0)).size());
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 7.0));
}

// Guards against quarantine of the requests that a failed host or link broke off.
MASTICSTEP_TEST("engines that end at the same moment quarantine no part", "[quarantine][failure]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 30; ++i) {
    const double at = 0.003 * i;
    quarantine.OnCrash(Crash("p" + std::to_string(i), at, { { kFirst, 0 }, { kBad, 1 } }), At(at));
  }
  CHECK_TRUE(quarantine.Active(At(1.0)).empty());
}

MASTICSTEP_TEST("a part that is answered between crashes is not quarantined", "[quarantine]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 30; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), i, { { kBad, 1 } }), At(i));
    quarantine.OnAnswered({ kBad }, At(i + 0.5));
  }
  CHECK_TRUE(quarantine.Active(At(31.0)).empty());
}

MASTICSTEP_TEST("a whole answer that another daemon received ends the quarantine", "[quarantine]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), i, { { kBad, 1 } }), At(i));
  }
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 3.0));
  quarantine.Merge({ {}, {}, { { kBad, At(3.5) } } }, At(3.6));
  CHECK_FALSE(IsQuarantined(quarantine, kBad, 3.7));
}

MASTICSTEP_TEST("a quarantine ends by itself", "[quarantine]")
{
  PromptQuarantine quarantine;
  quarantine.Quarantine({ kBad, At(0.0) + PromptQuarantine::kDuration }, At(0.0));
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 599.0));
  CHECK_FALSE(IsQuarantined(quarantine, kBad, 601.0));
}

// Guards against two suspects of the same crashes that keep each other from being found.
MASTICSTEP_TEST("parts that cannot be told apart are quarantined after one more crash",
                "[quarantine]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 4; ++i) {
    CHECK_TRUE(quarantine.Active(At(i)).empty());
    quarantine.OnCrash(Crash("p" + std::to_string(i), i, { { kFirst, 0 }, { kBad, 1 }, { 67, 2 } }),
                       At(i));
  }
  CHECK_EQUAL(std::size_t{ 2 }, quarantine.Active(At(4.0)).size());
  CHECK_FALSE(IsQuarantined(quarantine, kFirst, 4.0));
}

// Guards against a sound part in quarantine because the rest of the evidence arrived after it.
MASTICSTEP_TEST("a quarantine ends when late evidence explains the crashes better",
                "[quarantine][failure]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), 0.2 * i, { { 7, 1 } }), At(0.2 * i));
  }
  CHECK_TRUE(IsQuarantined(quarantine, 7, 0.5));
  CHECK_TRUE(quarantine.Settled(At(0.5)).empty());
  Evidence late;
  for (int i = 0; i < 3; ++i) {
    late.crashes.push_back(Crash("p" + std::to_string(i), 0.2 * i, { { kBad, 1 } }));
  }
  late.crashes.push_back(Crash("q", 0.9, { { kBad, 1 } }));
  quarantine.Merge(late, At(1.0));
  CHECK_FALSE(IsQuarantined(quarantine, 7, 1.1));
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 1.1));
}

// Guards against parts that were read from the store after a restart and forgotten with the next
// crash.
MASTICSTEP_TEST("a quarantine known from the store outlasts other crashes", "[quarantine]")
{
  PromptQuarantine quarantine;
  quarantine.Quarantine({ kBad, At(0.0) + PromptQuarantine::kDuration }, At(0.0));
  quarantine.OnCrash(Crash("a", 0.1, { { 7, 1 } }), At(0.1));
  CHECK_TRUE(IsQuarantined(quarantine, kBad, 0.2));
}

namespace {

constexpr std::uint64_t kContent = 70; // digest of a request without its caller

std::vector<SuspectPart> RequestOf(std::uint64_t aCaller)
{
  return { { aCaller, kRequestOfCaller }, { kContent, kRequest }, { kFirst, 0 }, { kBad, 1 } };
}

} // namespace

// Guards against blaming a prompt part for a request that always comes with it.
MASTICSTEP_TEST("a request that crashed engines is quarantined instead of its parts",
                "[quarantine][request]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), 0.2 * i, RequestOf(80)), At(0.2 * i));
  }
  CHECK_TRUE(IsQuarantined(quarantine, 80, 1.0));
  CHECK_FALSE(IsQuarantined(quarantine, kContent, 1.0));
  CHECK_FALSE(IsQuarantined(quarantine, kBad, 1.0));
}

MASTICSTEP_TEST("a request that crashed engines for several callers is quarantined for all",
                "[quarantine][request]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), 0.2 * i, RequestOf(80U + i)), At(0.2 * i));
  }
  CHECK_TRUE(IsQuarantined(quarantine, kContent, 1.0));
  CHECK_FALSE(IsQuarantined(quarantine, kBad, 1.0));
}

// Guards against a caller's request that escapes, since others get answers to the same content.
MASTICSTEP_TEST("answers to other callers do not clear a caller's request", "[quarantine][request]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    const double at = 0.2 * i;
    quarantine.OnCrash(Crash("p" + std::to_string(i), at, RequestOf(80)), At(at));
    quarantine.OnAnswered({ 81, kContent, kFirst, kBad }, At(at + 0.1));
  }
  CHECK_TRUE(IsQuarantined(quarantine, 80, 1.0));
  CHECK_FALSE(IsQuarantined(quarantine, kContent, 1.0));
}

// Guards against a request that ends all engines of a service with its repeats before it is found.
MASTICSTEP_TEST("repeats of a request that crash one engine each right away count one by one",
                "[quarantine][request]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(Crash("p" + std::to_string(i), 0.01 * i, RequestOf(80)), At(0.01 * i));
  }
  CHECK_TRUE(IsQuarantined(quarantine, 80, 0.1));
}

// Guards against quarantine of requests that were on engines which ended for another reason.
MASTICSTEP_TEST("requests that do not come again are not quarantined", "[quarantine][request]")
{
  PromptQuarantine quarantine;
  for (int i = 0; i < 30; ++i) {
    const std::uint64_t digest = 1000U + 2U * static_cast<std::uint64_t>(i);
    quarantine.OnCrash(Crash("p" + std::to_string(i), 0.2 * i,
                             { { digest, kRequestOfCaller }, { digest + 1, kRequest } }),
                       At(0.2 * i));
  }
  CHECK_TRUE(quarantine.Active(At(6.0)).empty());
}
