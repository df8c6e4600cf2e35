#include "ConfigurationFollower.hpp"

#include "WatchBackoff.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace masticstep::gateway {

using platform::PlatformReply;
using platform::PlatformStatus;
using telemetry::Level;

namespace {

constexpr Duration kWatchTimeout = Seconds(20);
constexpr Duration kRoleCheckInterval = Milliseconds(500);
constexpr Duration kReportInterval = Milliseconds(500);
// Health entries become stale after 60 s.
constexpr Duration kRepublishInterval = Seconds(20);
const std::string kWatchKey = "watch";
// Seeds of the backoff jitter; they differ so that the loops of one daemon do not retry together.
constexpr std::uint64_t kWatchSeed = 1;
constexpr std::uint64_t kReportSeed = 2;

// Key of the entry that holds the generation of a daemon. It cannot collide with the key of a
// backend server, since names of backend servers contain no slash.
EntryKey GenerationKey(const HostName& aHost)
{
  return { EntryKind::Health, "generation/" + aHost.Text() };
}

std::uint64_t ParseGeneration(const std::optional<Entry>& aEntry)
{
  std::uint64_t n = 0;
  if (aEntry) {
    std::from_chars(aEntry->value.data(), aEntry->value.data() + aEntry->value.size(), n);
  }
  return n;
}

} // namespace

ConfigurationFollower::ConfigurationFollower(
  std::shared_ptr<GatewayParts> aParts, std::shared_ptr<platform_client::HttpObjectStore> aStore)
  : mParts(std::move(aParts))
  , mStore(std::move(aStore))
{
}

bool ConfigurationFollower::IsWatcher() const
{
  return !mParts->peering || mParts->peering->Role(kWatchKey) != OwnerRole::None;
}

net::Task<PlatformReply> ConfigurationFollower::Call(platform::PlatformCall aCall)
{
  platform::PlatformRequest request;
  request.number = mNextCall.fetch_add(1);
  request.call = std::move(aCall);
  co_return co_await mStore->Call(std::move(request));
}

net::Task<void> ConfigurationFollower::Watch()
{
  const std::shared_ptr<ConfigurationFollower> self = shared_from_this();
  WatchBackoff backoff(Hash64(mParts->settings.host.Text(), kWatchSeed));
  std::optional<std::uint64_t> revision; // up to which the manifest has been read
  while (!mIsStopped) {
    if (!IsWatcher()) {
      revision.reset();
      co_await net::Sleep(kRoleCheckInterval);
      continue;
    }
    platform::PlatformCall call = platform::ListRequest{ publication::ManifestKey().Text() };
    if (revision) {
      call = platform::WatchRequest{ publication::ManifestKey().Text(), *revision, kWatchTimeout };
    }
    const PlatformReply reply = co_await Call(std::move(call));
    // The revision predates the read of the manifest, so the next watch reports any later change.
    const bool shouldRead = !revision || !reply.items.empty();
    if (reply.status != PlatformStatus::Done || (shouldRead && !co_await ReadManifest())) {
      revision.reset();
      co_await net::Sleep(backoff.NextPause());
      continue;
    }
    backoff.OnSuccess();
    revision = reply.revision;
  }
}

net::Task<bool> ConfigurationFollower::ReadManifest()
{
  // The call is a named variable, here and below, because g++ 12 destroys a braced temporary in a
  // co_await expression twice.
  platform::PlatformCall call = platform::ReadRequest{ publication::ManifestKey() };
  const PlatformReply manifest = co_await Call(std::move(call));
  if (manifest.status == PlatformStatus::NotFound) {
    co_return true;
  }
  if (manifest.status != PlatformStatus::Done) {
    co_return false;
  }
  const std::vector<std::string> digestsToFetch = AddDocument(manifest.body, true);
  for (const std::string& digest : digestsToFetch) {
    if (!co_await ReadContent(digest)) {
      co_return false;
    }
  }
  co_return true;
}

net::Task<bool> ConfigurationFollower::ReadContent(std::string aDigest)
{
  platform::PlatformCall call = platform::ReadRequest{ publication::ContentKey(aDigest) };
  const PlatformReply content = co_await Call(std::move(call));
  if (content.status != PlatformStatus::Done) {
    telemetry::Log(Level::Warning, "configuration content could not be read",
                   { { "digest", aDigest } });
    co_return false;
  }
  AddDocument(content.body, false);
  co_return true;
}

std::vector<std::string> ConfigurationFollower::AddDocument(const std::string& aText,
                                                            bool aIsManifest)
{
  publication::TrackerActions actions;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    actions = aIsManifest ? mTracker.OnManifest(aText) : mTracker.OnContent(aText);
    if (actions.applied) {
      mParts->Apply(mTracker.Current(), net::Now());
    }
  }
  PublishApplied(actions);
  return actions.digestsToFetch;
}

void ConfigurationFollower::PublishApplied(const publication::TrackerActions& aActions)
{
  for (const Fault& fault : aActions.faults) {
    telemetry::Log(Level::Error, "configuration refused", { { "fault", ToString(fault) } });
  }
  if (!aActions.applied) {
    return;
  }
  ConfigurationBundle bundle = MakeBundle();
  telemetry::Log(Level::Info, "configuration in force", { { "generation", bundle.generation } });
  if (mParts->peering) {
    mParts->peering->Publish(GenerationKey(mParts->settings.host),
                             std::to_string(bundle.generation));
    mParts->peering->PublishConfiguration(std::move(bundle));
  }
}

ConfigurationBundle ConfigurationFollower::MakeBundle()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const publication::Manifest& manifest = mTracker.AppliedManifest();
  ConfigurationBundle bundle;
  bundle.generation = manifest.generation;
  bundle.manifest = publication::EncodeManifest(manifest);
  for (const auto& [name, entry] : manifest.services) {
    const std::string* content = mTracker.FindContent(entry.digest);
    if (content != nullptr) {
      bundle.contents[entry.digest] = std::make_shared<const std::string>(*content);
    }
  }
  return bundle;
}

void ConfigurationFollower::OnBundle(const ConfigurationBundle& aBundle)
{
  AddDocument(aBundle.manifest, true);
  for (const auto& [digest, content] : aBundle.contents) {
    AddDocument(*content, false);
  }
}

publication::InForceReport ConfigurationFollower::LowestInForce() const
{
  publication::InForceReport report;
  report.dataCentre = mParts->settings.dataCentre;
  report.reporter = mParts->settings.host;
  std::optional<std::uint64_t> lowest;
  for (const MemberRecord& member : mParts->peering->LocalMembers()) {
    const std::uint64_t n = ParseGeneration(mParts->peering->Find(GenerationKey(member.name)));
    lowest = lowest ? std::min(*lowest, n) : n;
    ++report.members;
  }
  report.generation = lowest.value_or(0);
  return report;
}

net::Task<void> ConfigurationFollower::ReportInForce()
{
  const std::shared_ptr<ConfigurationFollower> self = shared_from_this();
  WatchBackoff backoff(Hash64(mParts->settings.host.Text(), kReportSeed));
  std::optional<publication::InForceReport> written;
  Time nextPublish = net::Now();
  while (!mIsStopped && mParts->peering) {
    Duration pause = kReportInterval;
    const ConfigurationPointer current = mParts->configuration.Current();
    if (current && net::Now() >= nextPublish) {
      mParts->peering->Publish(GenerationKey(mParts->settings.host),
                               std::to_string(current->Generation()));
      nextPublish = net::Now() + kRepublishInterval;
    }
    if (mParts->peering->Role(kWatchKey) == OwnerRole::Owner) {
      const publication::InForceReport report = LowestInForce();
      if (written != report) {
        if (co_await WriteReport(report)) {
          written = report;
          backoff.OnSuccess();
        } else {
          pause = backoff.NextPause();
        }
      }
    } else {
      written.reset();
    }
    co_await net::Sleep(pause);
  }
}

net::Task<bool> ConfigurationFollower::WriteReport(publication::InForceReport aReport)
{
  const platform::ObjectKey key = publication::InForceKey(aReport.dataCentre);
  platform::PlatformCall read = platform::ReadRequest{ key };
  const PlatformReply old = co_await Call(std::move(read));
  if (old.status != PlatformStatus::Done && old.status != PlatformStatus::NotFound) {
    co_return false;
  }
  platform::ConditionalWrite write;
  write.key = key;
  write.expected = old.version;
  write.body = publication::EncodeInForce(aReport);
  platform::PlatformCall call = std::move(write);
  const PlatformReply reply = co_await Call(std::move(call));
  co_return reply.status == PlatformStatus::Done;
}

} // namespace masticstep::gateway
