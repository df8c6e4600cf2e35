#include "Deadline.hpp"

#include <utility>

namespace masticstep::net {

Deadline::Deadline(const Executor& aExecutor, std::function<void()> aOnExpired)
  : mTimer(aExecutor)
  , mOnExpired(std::move(aOnExpired))
{
}

void Deadline::Start(Duration aTimeout)
{
  mEnd = boost::asio::steady_timer::clock_type::now() + aTimeout;
  mIsActive = true;
  if (!mIsTimerSet || mEnd < mTimerEnd) {
    SetTimer();
  }
}

void Deadline::Detach()
{
  mIsActive = false;
  mOnExpired = nullptr;
  mTimer.cancel();
}

void Deadline::SetTimer()
{
  mIsTimerSet = true;
  mTimerEnd = mEnd;
  mTimer.expires_at(mEnd);
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError) {
      self->OnTimer();
    }
  });
}

void Deadline::OnTimer()
{
  mIsTimerSet = false;
  if (!mIsActive) {
    return;
  }
  if (boost::asio::steady_timer::clock_type::now() < mEnd) {
    SetTimer();
    return;
  }
  mHasExpired = true;
  mIsActive = false;
  if (mOnExpired) {
    mOnExpired();
  }
}

} // namespace masticstep::net
