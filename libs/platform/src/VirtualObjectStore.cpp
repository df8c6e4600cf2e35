#include "masticstep/platform/VirtualObjectStore.hpp"

#include <utility>

namespace masticstep::platform {

void VirtualObjectStore::Submit(PlatformRequest aRequest, Callback aCallback)
{
  Schedule(mNow + mFaults.latency / 2,
           { true, std::move(aRequest), PlatformReply{}, std::move(aCallback) });
}

std::optional<Time> VirtualObjectStore::NextWakeUp() const
{
  if (mEvents.empty()) {
    return std::nullopt;
  }
  return mEvents.begin()->first;
}

void VirtualObjectStore::AdvanceTo(Time aNow)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aNow) {
    const std::multimap<Time, Event>::iterator first = mEvents.begin();
    mNow = first->first;
    Event event = std::move(first->second);
    mEvents.erase(first);
    if (event.arrivesAtPlatform) {
      DeliverRequest(std::move(event));
    } else {
      event.callback(std::move(event.reply));
    }
  }
  mNow = aNow;
}

void VirtualObjectStore::Schedule(Time aTime, Event aEvent)
{
  mEvents.emplace(aTime, std::move(aEvent));
}

void VirtualObjectStore::DeliverRequest(Event aEvent)
{
  aEvent.arrivesAtPlatform = false;
  Duration delay = mFaults.latency - mFaults.latency / 2;
  const bool loseRequest = mFaults.loseRequests > 0;
  const bool loseAnswer = !loseRequest && mFaults.loseAnswers > 0;
  mFaults.loseRequests -= loseRequest ? 1 : 0;
  mFaults.loseAnswers -= loseAnswer ? 1 : 0;
  if (ExceedsWriteRate(aEvent.request)) {
    aEvent.reply.status = PlatformStatus::Refused;
  } else if (!loseRequest) {
    aEvent.reply = mPlatform.Apply(aEvent.request);
  }
  if (loseRequest || loseAnswer) {
    aEvent.reply = PlatformReply{};
    delay = mFaults.timeout;
  }
  aEvent.reply.number = aEvent.request.number;
  Schedule(mNow + delay, std::move(aEvent));
}

bool VirtualObjectStore::ExceedsWriteRate(const PlatformRequest& aRequest)
{
  if (mFaults.writesPerSecond == 0 || !std::holds_alternative<ConditionalWrite>(aRequest.call)) {
    return false;
  }
  if (mNow - mWindowStart >= Seconds(1)) {
    mWindowStart = mNow;
    mWritesInWindow = 0;
  }
  ++mWritesInWindow;
  return mWritesInWindow > mFaults.writesPerSecond;
}

} // namespace masticstep::platform
