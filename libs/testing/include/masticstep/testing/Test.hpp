#pragma once

#include <cppunit/TestAssert.h>
#include <cppunit/TestCase.h>
#include <rapidcheck.h>

#include <memory>
#include <string>

namespace masticstep::testing {

// Adds a test case to the program's list. Used through MASTICSTEP_TEST.
class Registration
{
public:
  using Factory = std::unique_ptr<CppUnit::TestCase> (*)();
  Registration(std::string aName, std::string aTags, Factory aFactory);
};

// Runs a RapidCheck property and fails the CppUnit test with its counterexample. The seed is fixed
// by the test main, so every run draws the same cases.
template <class Property>
void CheckProperty(const std::string& aDescription, Property&& aProperty)
{
  const bool holds = rc::check(aDescription, std::forward<Property>(aProperty));
  CPPUNIT_ASSERT_MESSAGE("property failed: " + aDescription, holds);
}

} // namespace masticstep::testing

#define MASTICSTEP_TEST_JOIN2(aLeft, aRight) aLeft##aRight
#define MASTICSTEP_TEST_JOIN(aLeft, aRight) MASTICSTEP_TEST_JOIN2(aLeft, aRight)

// Defines a CppUnit test case with a readable name and tags such as "[lease][failure]".
#define MASTICSTEP_TEST(aName, aTags)                                                              \
  MASTICSTEP_TEST_IMPLEMENTATION(aName, aTags, MASTICSTEP_TEST_JOIN(TestCase, __LINE__))
#define MASTICSTEP_TEST_IMPLEMENTATION(aName, aTags, aClass)                                       \
  namespace {                                                                                      \
  class aClass : public CppUnit::TestCase                                                          \
  {                                                                                                \
  public:                                                                                          \
    aClass()                                                                                       \
      : CppUnit::TestCase(aName)                                                                   \
    {                                                                                              \
    }                                                                                              \
    void runTest() override;                                                                       \
  };                                                                                               \
  const masticstep::testing::Registration MASTICSTEP_TEST_JOIN(kRegistration, __LINE__)(           \
    aName, aTags,                                                                                  \
    []() -> std::unique_ptr<CppUnit::TestCase> { return std::make_unique<aClass>(); });            \
  }                                                                                                \
  void aClass::runTest()

// Shorthands with the readable names of the CppUnit assertions.
#define CHECK_TRUE(aCondition) CPPUNIT_ASSERT(aCondition)
#define CHECK_FALSE(aCondition) CPPUNIT_ASSERT(!(aCondition))
#define CHECK_EQUAL(aExpected, aActual)                                                            \
  masticstep::testing::CheckEqual((aExpected), (aActual), CPPUNIT_SOURCELINE())

namespace masticstep::testing {

// Compares values of types that need not be printable and need not be the same type.
template <class Expected, class Actual>
void CheckEqual(const Expected& aExpected, const Actual& aActual, const CppUnit::SourceLine& aLine)
{
  if (aExpected == aActual) {
    return;
  }
  if constexpr (requires(std::ostream & aStream) { aStream << aExpected << aActual; }) {
    std::ostringstream text;
    text << "expected " << aExpected << ", got " << aActual;
    CppUnit::Asserter::fail(text.str(), aLine);
  } else {
    CppUnit::Asserter::fail("values differ", aLine);
  }
}

} // namespace masticstep::testing
