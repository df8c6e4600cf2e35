#include "masticstep/testing/Test.hpp"

#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <vector>

namespace masticstep::testing {

namespace {

// The seed is part of the repository, so that a failing case can be run again.
constexpr const char* kRapidCheckParameters = "seed=20261204 max_success=200";
constexpr std::string_view kKnownRedPrefix = "test: ";

struct RegisteredTest
{
  std::string name;
  std::string tags;
  Registration::Factory factory;
};

std::vector<RegisteredTest>& RegisteredTests()
{
  static std::vector<RegisteredTest> sTests;
  return sTests;
}

// Reads the names of known failures from the file that MASTICSTEP_KNOWN_RED names.
std::set<std::string> KnownFailures()
{
  std::set<std::string> names;
  const char* path = std::getenv("MASTICSTEP_KNOWN_RED");
  std::ifstream file(path == nullptr ? "" : path);
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(kKnownRedPrefix)) {
      names.insert(line.substr(kKnownRedPrefix.size()));
    }
  }
  return names;
}

bool Matches(const RegisteredTest& aTest, const std::string& aFilter)
{
  return aTest.name.find(aFilter) != std::string::npos ||
         aTest.tags.find(aFilter) != std::string::npos;
}

void PrintFailure(const CppUnit::TestFailure& aFailure)
{
  std::cout << "FAILED: " << aFailure.failedTestName() << "\n  " << aFailure.sourceLine().fileName()
            << ":" << aFailure.sourceLine().lineNumber() << "\n  "
            << aFailure.thrownException()->what() << "\n";
}

int RunTests(const std::string& aFilter)
{
  const std::set<std::string> known = KnownFailures();
  std::size_t passed = 0;
  std::size_t failed = 0;
  std::size_t skipped = 0;
  for (const RegisteredTest& test : RegisteredTests()) {
    if (!Matches(test, aFilter)) {
      continue;
    }
    if (known.contains(test.name) && aFilter.empty()) {
      std::cout << "known failure, not run: " << test.name << "\n";
      ++skipped;
      continue;
    }
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    result.addListener(&collector);
    std::cout << "run: " << test.name << " " << test.tags << std::endl;
    const std::unique_ptr<CppUnit::TestCase> instance = test.factory();
    instance->run(&result);
    for (const CppUnit::TestFailure* failure : collector.failures()) {
      PrintFailure(*failure);
    }
    (collector.wasSuccessful() ? passed : failed) += 1;
  }
  std::cout << passed << " passed, " << failed << " failed, " << skipped << " skipped\n";
  // A filter that matches nothing, or a program without tests, must not pass.
  return failed == 0 && passed + skipped > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

Registration::Registration(std::string aName, std::string aTags, Factory aFactory)
{
  RegisteredTests().push_back({ std::move(aName), std::move(aTags), aFactory });
}

} // namespace masticstep::testing

// Usage: PROGRAM [FILTER]; the filter is part of a test's name or tags.
int main(int aCount, char** aArguments)
{
  setenv("RC_PARAMS", masticstep::testing::kRapidCheckParameters,
         0); // NOLINT(concurrency-mt-unsafe)
  return masticstep::testing::RunTests(aCount > 1 ? aArguments[1] : "");
}
