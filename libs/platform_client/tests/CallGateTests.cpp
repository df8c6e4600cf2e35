#include "masticstep/platform_client/CallGate.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::platform_client;

// Guards against a daemon that spends the platform's call rate on its own.
MASTICSTEP_TEST("calls over the budget are held back", "[platform_client]")
{
  CallGate gate({ .callsPerSecond = 10.0, .burst = 5.0 }, 1);
  std::size_t admitted = 0;
  for (std::int64_t i = 0; i <= 1000; ++i) {
    admitted += gate.Admit(Time{ Milliseconds(i) }) ? 1 : 0;
  }
  CHECK_EQUAL(15U, admitted);
}

// Guards against daemons that return together after an outage, and against an endless backoff.
MASTICSTEP_TEST("backoff grows with jitter and ends with an answer", "[platform_client]")
{
  CallGate gate({}, 1);
  Time now{ Seconds(1) };
  gate.OnFailure(now);
  gate.OnFailure(now);
  CHECK_TRUE(gate.Admit(now));
  for (int i = 0; i < 20; ++i) {
    gate.OnFailure(now);
  }
  CHECK_FALSE(gate.Admit(now + Milliseconds(999)));
  CHECK_TRUE(gate.Admit(now + Seconds(2)));
  gate.OnFailure(now);
  gate.OnAnswer();
  CHECK_TRUE(gate.Admit(now + Seconds(2)));
}
