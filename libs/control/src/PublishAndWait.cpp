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

// Latest reply; outlives the run, since a reply may arrive after the run gave up.
struct Mailbox
{
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<PlatformReply> reply;
};

void Submit(platform::ObjectStore& aStore, PlatformRequest aRequest,
            const std::shared_ptr<Mailbox>& aMailbox)
{
  aStore.Submit(std::move(aRequest), [aMailbox](PlatformReply aReply) {
    const std::lock_guard<std::mutex> lock(aMailbox->mutex);
    aMailbox->reply = std::move(aReply);
    aMailbox->changed.notify_one();
  });
}

// Waits for a reply until a time; empty if none came.
std::optional<PlatformReply> Wait(Mailbox& aMailbox, Time aUntil)
{
  std::unique_lock<std::mutex> lock(aMailbox.mutex);
  const auto arrived = [&aMailbox] { return aMailbox.reply.has_value(); };
  aMailbox.changed.wait_for(lock, std::max(aUntil - net::Now(), Duration::zero()), arrived);
  return std::exchange(aMailbox.reply, std::nullopt);
}

} // namespace

publication::PublishOutcome PublishAndWait(platform::ObjectStore& aStore,
                                           std::vector<publication::ServiceContent> aServices,
                                           std::string aNonce, Duration aTimeout)
{
  const std::shared_ptr<Mailbox> mailbox = std::make_shared<Mailbox>();
  Publisher publisher({ std::move(aServices), std::move(aNonce), net::Now() + aTimeout });
  std::optional<PlatformRequest> request = publisher.Start(net::Now());
  while (!publisher.Outcome()) {
    if (request) {
      Submit(aStore, std::move(*request), mailbox);
    }
    const std::optional<PlatformReply> reply = Wait(*mailbox, *publisher.NextWakeUp());
    request = reply ? publisher.OnPlatformReply(*reply, net::Now()) : publisher.OnTime(net::Now());
  }
  return *publisher.Outcome();
}

} // namespace masticstep::control
