#include "HostListFollower.hpp"

#include "WatchBackoff.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <optional>
#include <utility>

namespace masticstep::gateway {

using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

const std::string kPrefix = "hosts/";
const std::string kRoleKey = "hosts";
constexpr Duration kWatchTimeout = Seconds(20);
// Except during platform outages, a leaving server must get no new work 5 s after the notice.
constexpr Duration kRoleCheckInterval = Milliseconds(500);
// Seed of the backoff jitter; differs from the seeds in ConfigurationFollower.
constexpr std::uint64_t kWatchSeed = 3;

bool HasLeavingState(const std::string& aBody)
{
  boost::system::error_code ec;
  const boost::json::value parsed = boost::json::parse(aBody, ec);
  const boost::json::object* object = parsed.if_object();
  const boost::json::value* state = object == nullptr ? nullptr : object->if_contains("state");
  return state != nullptr && state->is_string() && state->get_string() == "leaving";
}

} // namespace

HostListFollower::HostListFollower(std::shared_ptr<GatewayParts> aParts,
                                   std::shared_ptr<platform_client::HttpObjectStore> aStore)
  : mParts(std::move(aParts))
  , mStore(std::move(aStore))
{
}

net::Task<PlatformReply> HostListFollower::Call(platform::PlatformCall aCall)
{
  platform::PlatformRequest request;
  request.number = mNextCall++;
  request.call = std::move(aCall);
  co_return co_await mStore->Call(std::move(request));
}

net::Task<void> HostListFollower::Watch()
{
  const std::shared_ptr<HostListFollower> self = shared_from_this();
  WatchBackoff backoff(Hash64(mParts->settings.host.Text(), kWatchSeed));
  std::optional<std::uint64_t> revision; // up to which the list has been read
  while (!mIsStopped) {
    if (mParts->peering->Role(kRoleKey) == OwnerRole::None) {
      revision.reset();
      co_await net::Sleep(kRoleCheckInterval);
      continue;
    }
    platform::PlatformCall call = platform::ListRequest{ kPrefix };
    if (revision) {
      call = platform::WatchRequest{ kPrefix, *revision, kWatchTimeout };
    }
    PlatformReply reply = co_await Call(std::move(call));
    const std::uint64_t seen = reply.revision;
    if (reply.status != PlatformStatus::Done || !co_await ApplyChanges(std::move(reply.items))) {
      revision.reset();
      co_await net::Sleep(backoff.NextPause());
      continue;
    }
    backoff.OnSuccess();
    revision = seen;
  }
}

net::Task<bool> HostListFollower::ApplyChanges(std::vector<platform::ObjectChange> aChanges)
{
  for (platform::ObjectChange& change : aChanges) {
    if (!co_await ApplyChange(std::move(change))) {
      co_return false;
    }
  }
  co_return true;
}

net::Task<bool> HostListFollower::ApplyChange(platform::ObjectChange aChange)
{
  const std::string server = aChange.key.Text().substr(kPrefix.size());
  if (aChange.deleted) {
    PublishLeaving(server, false);
    co_return true;
  }
  platform::PlatformCall call = platform::ReadRequest{ aChange.key };
  const PlatformReply reply = co_await Call(std::move(call));
  if (reply.status == PlatformStatus::Done) {
    PublishLeaving(server, HasLeavingState(reply.body));
  }
  co_return reply.status == PlatformStatus::Done || reply.status == PlatformStatus::NotFound;
}

void HostListFollower::PublishLeaving(const std::string& aServer, bool aIsLeaving)
{
  const EntryKey key{ EntryKind::Drain, aServer };
  const std::optional<Entry> known = mParts->peering->Find(key);
  const bool isKnownLeaving = known && !known->value.empty();
  if (isKnownLeaving == aIsLeaving) {
    return;
  }
  telemetry::Log(telemetry::Level::Info, "leaving state of backend server changed",
                 { { "server", aServer }, { "leaving", aIsLeaving } });
  mParts->peering->Publish(key, aIsLeaving ? "leaving" : "");
}

} // namespace masticstep::gateway
