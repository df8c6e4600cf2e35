#include "masticstep/control/PublishAndWait.hpp"

#include "masticstep/net/Clock.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace masticstep::control {

using platform::PlatformReply;
using platform::PlatformRequest;
using publication::Publisher;

namespace {

// Latest reply. Ownership is shared with the callbacks, because a reply may arrive after the
// timeout of the call.
struct ReplySlot
{
  std::mutex mutex;
  std::condition_variable condition;
  std::optional<PlatformReply> reply;
};

void Submit(platform::ObjectStore& aStore, PlatformRequest aRequest,
            const std::shared_ptr<ReplySlot>& aSlot)
{
  aStore.Submit(std::move(aRequest), [aSlot](PlatformReply aReply) {
    const std::lock_guard<std::mutex> lock(aSlot->mutex);
    aSlot->reply = std::move(aReply);
    aSlot->condition.notify_one();
  });
}

// Waits for a reply until the deadline; returns nothing if none arrived.
std::optional<PlatformReply> WaitForReply(ReplySlot& aSlot, Time aDeadline)
{
  std::unique_lock<std::mutex> lock(aSlot.mutex);
  const auto hasReply = [&aSlot] { return aSlot.reply.has_value(); };
  aSlot.condition.wait_for(lock, std::max(aDeadline - net::Now(), Duration::zero()), hasReply);
  return std::exchange(aSlot.reply, std::nullopt);
}

} // namespace

publication::PublishOutcome PublishAndWait(platform::ObjectStore& aStore,
                                           std::vector<publication::ServiceContent> aServices,
                                           std::string aNonce, Duration aTimeout)
{
  const std::shared_ptr<ReplySlot> slot = std::make_shared<ReplySlot>();
  Publisher publisher({ std::move(aServices), std::move(aNonce), net::Now() + aTimeout });
  std::optional<PlatformRequest> request = publisher.Start(net::Now());
  while (!publisher.Outcome()) {
    if (request) {
      Submit(aStore, std::move(*request), slot);
    }
    const std::optional<PlatformReply> reply = WaitForReply(*slot, *publisher.NextWakeUp());
    request = reply ? publisher.OnPlatformReply(*reply, net::Now()) : publisher.OnTime(net::Now());
  }
  return *publisher.Outcome();
}

} // namespace masticstep::control
