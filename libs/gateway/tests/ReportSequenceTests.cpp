#include "ReportSequence.hpp"
#include "masticstep/testing/Test.hpp"

using masticstep::gateway::ReportSequence;

// Guards against treating a restarted engine as down until it has sent as many reports as in its
// previous run.
MASTICSTEP_TEST("reports of a restarted engine have higher numbers", "[gateway][load]")
{
  ReportSequence sequence;
  CHECK_EQUAL(900U, sequence.Next(900));
  CHECK_EQUAL(890U, sequence.Next(890));
  CHECK_EQUAL(901U, sequence.Next(1));
  CHECK_EQUAL(902U, sequence.Next(2));
  CHECK_EQUAL(1100U, sequence.Next(200));
  CHECK_EQUAL(1103U, sequence.Next(3));
}
