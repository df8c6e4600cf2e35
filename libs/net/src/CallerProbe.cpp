#include "CallerProbe.hpp"

#include "masticstep/base/Time.hpp"

#include <utility>

namespace masticstep::net {

namespace {

// Three writes and the look after them are over well before 0.4 s, the time within which the
// close of a caller must be noticed.
constexpr Duration kInterval = Milliseconds(100);

} // namespace

CallerProbe::CallerProbe(const Executor& aExecutor, std::function<bool()> aStep)
  : mTimer(aExecutor)
  , mStep(std::move(aStep))
{
}

void CallerProbe::Start()
{
  Step();
}

void CallerProbe::Stop()
{
  mStep = nullptr;
  mTimer.cancel();
}

void CallerProbe::Step()
{
  // The step may call Stop.
  const std::function<bool()> step = mStep;
  if (!step || !step()) {
    return;
  }
  mTimer.expires_after(kInterval);
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->Step();
    }
  });
}

} // namespace masticstep::net
