#include "masticstep/dispatch/RequestPriority.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

MASTICSTEP_TEST("the priority of the account precedes that of the route", "[dispatch][priority]")
{
  CHECK_TRUE(RequestPriority(2, 0) < RequestPriority(0, 1));
  CHECK_TRUE(RequestPriority(0, 1) < RequestPriority(1, 1));
  CHECK_TRUE(RequestPriority(0) < RequestPriority(1));
  CHECK_TRUE(RequestPriority(0) < RequestPriority(0, 1));
  CHECK_TRUE(RequestPriority(3, 3) == RequestPriority(3));
}

// Guards against a change of what engines get where the configuration has no account priorities.
MASTICSTEP_TEST("the level in an engine is the route's unless the account has a priority",
                "[dispatch][priority]")
{
  CHECK_EQUAL(2, static_cast<int>(RequestPriority(2).EngineLevel()));
  CHECK_EQUAL(9, static_cast<int>(RequestPriority(200).EngineLevel()));
  CHECK_EQUAL(0, static_cast<int>(RequestPriority(0, 0).EngineLevel()));
  CHECK_EQUAL(2, static_cast<int>(RequestPriority(9, 0).EngineLevel()));
  CHECK_EQUAL(4, static_cast<int>(RequestPriority(1, 1).EngineLevel()));
  CHECK_EQUAL(9, static_cast<int>(RequestPriority(0, 200).EngineLevel()));
}
