#include "masticstep/dispatch/Breaker.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

constexpr Time kStart{ Seconds(10) };

} // namespace

// Guards against taking a service away because of errors that its requests cause themselves.
MASTICSTEP_TEST("a server that fails one request in seven stays in use", "[dispatch][breaker]")
{
  Breaker breaker;
  for (int i = 0; i < 700; ++i) {
    if (i % 7 == 0) {
      breaker.OnFailure(kStart);
    } else {
      breaker.OnSuccess();
    }
    CHECK_TRUE(breaker.Allows(kStart));
  }
  CHECK_TRUE(breaker.FailureShare() > 0.05);
}

MASTICSTEP_TEST("a server without connection is left alone at once and probed after a pause",
                "[dispatch][breaker]")
{
  Breaker breaker;
  breaker.OnUnreachable(kStart);
  CHECK_FALSE(breaker.Allows(kStart + Milliseconds(300)));
  const Time later = kStart + Milliseconds(500);
  CHECK_TRUE(breaker.Allows(later));
  breaker.OnSent(later);
  CHECK_FALSE(breaker.Allows(later + Milliseconds(1)));
  breaker.OnSuccess();
  CHECK_TRUE(breaker.Allows(later + Milliseconds(2)));
}

// Guards against asking an engine again and again that is changing its stage.
MASTICSTEP_TEST("two refusals in a row open the breaker", "[dispatch][breaker]")
{
  Breaker breaker;
  breaker.OnRefusal(kStart);
  CHECK_TRUE(breaker.Allows(kStart));
  breaker.OnRefusal(kStart);
  CHECK_FALSE(breaker.Allows(kStart));
}
