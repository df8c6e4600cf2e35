#include "StreamOriginExchange.hpp"

#include "FeedBackoff.hpp"
#include "StoreCall.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"
#include "masticstep/wire/OriginReport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace masticstep::relay {

using dispatch::OriginKind;
using dispatch::ServiceVersion;
using dispatch::StreamGroup;
using dispatch::StreamOrigin;
using dispatch::StreamOrigins;
using platform::PlatformReply;
using platform::PlatformStatus;
using telemetry::Level;

namespace {

// Key prefix of the objects in the store.
const std::string kOriginPrefix = "masticstep-stream-origins/";
constexpr Duration kSendInterval = Milliseconds(25);
// While each service has one version, most records are never needed.
constexpr Duration kSendIntervalOfOneVersion = Milliseconds(100);
// 1 KB, so that a report is not fragmented on the way.
constexpr std::size_t kStreamsPerReport = 120;
constexpr Duration kStoreInterval = Milliseconds(125);
constexpr Duration kStoreIntervalOfOneVersion = Seconds(1);
// Shows that the versions are those of a live process; well below UnchangedObjects::kTime.
constexpr Duration kRefreshInterval = Seconds(15);
// Lookups share a read that began this long before them.
constexpr Duration kReadReuse = Milliseconds(200);
// Time from the first event of a stream until the store has its record, unless the store is slow.
constexpr Duration kRecordDelay = Milliseconds(225);
constexpr Duration kReadRetryInterval = Milliseconds(250);
constexpr Duration kReadCheckInterval = Milliseconds(5);
// A lookup reads again once, for a record that was on its way to the store.
constexpr int kReadsPerLookup = 2;
// Store watchers hear from the store at least once a long poll, which takes up to 12 s.
constexpr Duration kMaximumContactAge = Seconds(15);

std::string HexText(std::uint64_t aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

wire::OriginReport ToWire(const std::vector<StreamGroup>& aGroups)
{
  wire::OriginReport report;
  for (const StreamGroup& group : aGroups) {
    report.groups.push_back({ group.service, group.version, group.streams });
  }
  return report;
}

std::vector<StreamGroup> FromWire(const wire::OriginReport& aReport)
{
  std::vector<StreamGroup> groups;
  for (const wire::OriginGroup& group : aReport.groups) {
    groups.push_back({ group.service, group.version, group.streams });
  }
  return groups;
}

// Returns whether two lists name the same versions and tell the same of them as in service.
bool HaveSameVersions(const std::vector<ServiceVersion>& aLeft,
                      const std::vector<ServiceVersion>& aRight)
{
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    [](const ServiceVersion& aOne, const ServiceVersion& aOther) {
                      return aOne.service == aOther.service && aOne.version == aOther.version &&
                             (aOne.idle == Duration::zero()) == (aOther.idle == Duration::zero());
                    });
}

} // namespace

StreamOriginExchange::StreamOriginExchange(std::shared_ptr<RelayState> aState,
                                           std::shared_ptr<WorkReportChannel> aChannel,
                                           std::shared_ptr<platform::ObjectStore> aStore,
                                           const DataCentreName& aDataCentre, std::uint64_t aSeed)
  : mState(std::move(aState))
  , mChannel(std::move(aChannel))
  , mStore(std::move(aStore))
  , mDataCentrePrefix(kOriginPrefix + HexText(Hash64(aDataCentre.Text())) + "-")
  , mSeed(aSeed)
  , mElectionEnd(net::Now() + kElectionTime)
{
  const std::string processPrefix = mDataCentrePrefix + HexText(aSeed) + "-";
  for (std::size_t i = 0; i < mSlotObjects.size(); ++i) {
    mSlotObjects.at(i).key = platform::ObjectKey{ processPrefix + std::to_string(i) };
  }
  mVersionsObject.key = platform::ObjectKey{ processPrefix + "versions" };
}

net::Task<PlatformReply> StreamOriginExchange::Call(platform::PlatformCall aCall)
{
  co_return co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(aCall));
}

void StreamOriginExchange::Apply(std::string_view aDatagram)
{
  const Result<wire::OriginReport, wire::WireError> report = wire::DecodeOriginReport(aDatagram);
  if (!report) {
    telemetry::Log(Level::Warning, "origin report rejected",
                   { { "problem", report.error().message } });
    return;
  }
  mState->streamOrigins.Merge(FromWire(*report), net::Now());
}

net::Task<void> StreamOriginExchange::SendRecords()
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  std::vector<HostName> receivers;
  Time sentAt{};
  while (mChannel) {
    co_await net::Sleep(kSendInterval);
    const Time now = net::Now();
    if (now < sentAt + SendInterval(now)) {
      continue;
    }
    sentAt = now;
    if (receivers != mChannel->StoreWatchers()) {
      receivers = mChannel->StoreWatchers();
      mState->streamOrigins.SendAgain(now);
    }
    const std::vector<StreamGroup> groups =
      mState->streamOrigins.TakeUnsent(kStreamsPerReport, now);
    if (!groups.empty()) {
      mChannel->SendToStoreWatchers(wire::EncodeOriginReport(ToWire(groups)));
    }
  }
}

Duration StreamOriginExchange::SendInterval(Time aNow) const
{
  return mState->streamOrigins.HasSeveralVersions(aNow) ? kSendInterval : kSendIntervalOfOneVersion;
}

std::optional<SoftwareVersion> StreamOriginExchange::FindKnown(const std::string& aAttemptId,
                                                               const ServiceName& aService) const
{
  const StreamOrigin origin = mState->streamOrigins.Find(aAttemptId, aService, net::Now());
  if (origin.kind == OriginKind::Known ||
      (origin.kind == OriginKind::Unambiguous && IsDirectoryCurrent())) {
    return origin.version;
  }
  const std::uint64_t stream = StreamOrigins::StreamId(aAttemptId);
  for (const StreamGroup& group : mListedGroups) {
    const bool isListed =
      group.service == aService &&
      std::find(group.streams.begin(), group.streams.end(), stream) != group.streams.end();
    if (isListed) {
      return group.version;
    }
  }
  return std::nullopt;
}

bool StreamOriginExchange::IsDirectoryCurrent() const
{
  const StoreSyncState& sync = mState->storeSync;
  const std::optional<Time> contact = std::max(sync.storeContact, sync.peersStoreContact);
  return contact && net::Now() < *contact + kMaximumContactAge &&
         sync.peersNewestEntryRevision <= sync.newestEntryRevision;
}

std::optional<SoftwareVersion> StreamOriginExchange::FindOwn(const std::string& aAttemptId,
                                                             const ServiceName& aService) const
{
  const StreamOrigin origin = mState->streamOrigins.Find(aAttemptId, aService, net::Now());
  return origin.kind == OriginKind::Unknown ? std::nullopt
                                            : std::optional<SoftwareVersion>(origin.version);
}

net::Task<std::optional<SoftwareVersion>> StreamOriginExchange::FindOrigin(std::string aAttemptId,
                                                                           ServiceName aService,
                                                                           Time aUntil)
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  std::optional<SoftwareVersion> version = FindKnown(aAttemptId, aService);
  const char* source = "memory";
  if (!version) {
    version = co_await FindInStore(aAttemptId, aService, aUntil);
    source = version ? "store" : "none";
  }
  mState->metrics.GetCounter({ "masticstep_stream_origins_total", "source", source })->Add();
  if (!version) {
    telemetry::Log(Level::Warning, "origin of a stream is unknown",
                   { { "stream", aAttemptId }, { "service", aService.Text() } });
  }
  co_return version;
}

net::Task<std::optional<SoftwareVersion>> StreamOriginExchange::FindInStore(std::string aAttemptId,
                                                                            ServiceName aService,
                                                                            Time aUntil)
{
  const Time begin = net::Now();
  Time readAfter = begin - kReadReuse;
  int reads = 0;
  while (reads < kReadsPerLookup && net::Now() < aUntil) {
    if (mListedAt >= readAfter) {
      ++reads;
      const std::optional<SoftwareVersion> known = FindKnown(aAttemptId, aService);
      const std::optional<SoftwareVersion> version = known ? known : FindOwn(aAttemptId, aService);
      if (version) {
        co_return version;
      }
      readAfter = begin + kRecordDelay;
      co_await net::Sleep(std::min(readAfter, aUntil) - net::Now());
      continue;
    }
    // Without the store, what this daemon has seen itself decides.
    const bool isStoreLost = mReadFailedAt >= begin;
    if (isStoreLost && FindOwn(aAttemptId, aService)) {
      break;
    }
    StartReading();
    co_await net::Sleep(std::min(kReadCheckInterval, aUntil - net::Now()));
  }
  co_return FindOwn(aAttemptId, aService);
}

void StreamOriginExchange::StartReading()
{
  if (mIsReading || net::Now() < mReadFailedAt + kReadRetryInterval) {
    return;
  }
  boost::asio::co_spawn(
    mState->executor, [self = shared_from_this()] { return self->ReadAll(); },
    boost::asio::detached);
}

net::Task<void> StreamOriginExchange::ReadAll()
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  if (std::exchange(mIsReading, true)) {
    co_return;
  }
  const Time begin = net::Now();
  std::vector<platform::ObjectChange> objects;
  platform::ListRequest list{ kOriginPrefix, {} };
  bool hasMore = true;
  while (hasMore) {
    platform::PlatformCall call = list;
    PlatformReply page = co_await Call(std::move(call));
    if (page.status != PlatformStatus::Done) {
      mReadFailedAt = net::Now();
      mIsReading = false;
      co_return;
    }
    hasMore = page.hasMore && !page.items.empty();
    std::move(page.items.begin(), page.items.end(), std::back_inserter(objects));
    list.after = hasMore ? objects.back().key.Text().substr(kOriginPrefix.size()) : std::string{};
  }
  OnListed(objects, net::Now());
  mListedAt = begin;
  mIsReading = false;
}

void StreamOriginExchange::OnListed(const std::vector<platform::ObjectChange>& aObjects, Time aNow)
{
  mUnchangedObjects.OnListed(aObjects, aNow);
  std::vector<ServiceVersion> versions;
  mListedGroups.clear();
  for (const platform::ObjectChange& object : aObjects) {
    Result<StoredOrigins, std::string> origins = DecodeStoredOrigins(object.body);
    if (!origins) {
      telemetry::Log(Level::Warning, "object about stream origins ignored",
                     { { "key", object.key.Text() }, { "problem", origins.error() } });
      continue;
    }
    std::move(origins->groups.begin(), origins->groups.end(), std::back_inserter(mListedGroups));
    versions.insert(versions.end(), origins->versions.begin(), origins->versions.end());
  }
  mState->streamOrigins.OnHistoryRead(versions, aNow);
}

net::Task<void> StreamOriginExchange::SyncWithStore()
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  FeedBackoff backoff(mSeed);
  while (mListedAt == Time{} && !mState->streamOrigins.IsHistoryComplete(net::Now())) {
    co_await ReadAll();
    if (mListedAt == Time{}) {
      co_await net::Sleep(backoff.NextDelay());
    }
  }
  while (true) {
    if (mState->storeSync.isStorePoller && net::Now() >= mElectionEnd) {
      co_await Store();
    }
    co_await net::Sleep(kStoreInterval);
  }
}

net::Task<void> StreamOriginExchange::Store()
{
  // A restored store may have lost objects.
  if (mState->storeSync.storeEra > mStoredEra) {
    mStoredEra = mState->storeSync.storeEra;
    mStoredVersions.clear();
    mSlots.WriteAgain();
    mVersionsObject.isUncertain = true;
    for (OwnObject& object : mSlotObjects) {
      object.isUncertain = true;
    }
  }
  const Time now = net::Now();
  const bool mustRefresh = now >= mVersionsStoredAt + kRefreshInterval;
  const std::vector<ServiceVersion> versions = mState->streamOrigins.Versions(now);
  // First the versions: a daemon that reads records must know that there are several.
  if (mustRefresh || !HaveSameVersions(versions, mStoredVersions)) {
    co_await StoreVersions();
  }
  const bool isHurried = mState->streamOrigins.HasSeveralVersions(now);
  if (isHurried || now >= mRecordsStoredAt + kStoreIntervalOfOneVersion) {
    mRecordsStoredAt = now;
    co_await StoreRecords();
  }
  if (mustRefresh) {
    co_await ReadAll();
    co_await DeleteUnchanged();
  }
}

net::Task<void> StreamOriginExchange::StoreVersions()
{
  const Time now = net::Now();
  StoredOrigins origins{ {}, mState->streamOrigins.Versions(now) };
  std::string body = EncodeStoredOrigins(origins, ++mSequence);
  const bool isWritten = co_await Write(mVersionsObject, std::move(body));
  if (isWritten) {
    mStoredVersions = std::move(origins.versions);
    mVersionsStoredAt = now;
  }
}

net::Task<void> StreamOriginExchange::StoreRecords()
{
  const std::optional<std::size_t> slot = mSlots.Fill(mState->streamOrigins, net::Now());
  if (!slot) {
    co_return;
  }
  std::string body = EncodeStoredOrigins({ mSlots.Groups(*slot), {} }, ++mSequence);
  const bool isWritten = co_await Write(mSlotObjects.at(*slot), std::move(body));
  if (isWritten) {
    mSlots.OnWritten(*slot);
  }
}

net::Task<bool> StreamOriginExchange::Write(OwnObject& aObject, std::string aBody)
{
  if (aObject.isUncertain) {
    platform::PlatformCall read = platform::ReadRequest{ aObject.key };
    const PlatformReply found = co_await Call(std::move(read));
    if (found.status != PlatformStatus::Done && found.status != PlatformStatus::NotFound) {
      co_return false;
    }
    aObject.version = found.version;
    aObject.isUncertain = false;
  }
  platform::PlatformCall write =
    platform::ConditionalWrite{ aObject.key, aObject.version, std::move(aBody) };
  const PlatformReply written = co_await Call(std::move(write));
  const bool isWritten = written.status == PlatformStatus::Done;
  if (isWritten && written.version) {
    aObject.version = written.version;
    co_return true;
  }
  // Other processes delete the object if it has not changed for long.
  aObject.isUncertain =
    written.status != PlatformStatus::NotSent && written.status != PlatformStatus::Refused;
  co_return isWritten;
}

net::Task<void> StreamOriginExchange::DeleteUnchanged()
{
  const std::vector<std::pair<platform::ObjectKey, platform::Version>> unchanged =
    mUnchangedObjects.Find(mDataCentrePrefix, net::Now());
  for (const auto& [key, version] : unchanged) {
    platform::PlatformCall remove = platform::ConditionalDelete{ key, version };
    co_await Call(std::move(remove));
  }
}

net::Task<std::optional<SoftwareVersion>> FindStreamOrigin(RelayState& aState,
                                                           std::string aAttemptId,
                                                           ServiceName aService, Time aUntil)
{
  const std::shared_ptr<StreamOriginExchange> exchange = aState.streamOriginExchange.lock();
  if (exchange) {
    co_return co_await exchange->FindOrigin(std::move(aAttemptId), std::move(aService), aUntil);
  }
  const StreamOrigin origin = aState.streamOrigins.Find(aAttemptId, aService, net::Now());
  co_return origin.kind == OriginKind::Unknown ? std::nullopt
                                               : std::optional<SoftwareVersion>(origin.version);
}

} // namespace masticstep::relay
