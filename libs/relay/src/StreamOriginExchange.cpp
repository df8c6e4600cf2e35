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
constexpr Duration kStoreIntervalOfOneVersion = Milliseconds(500);
// Shows that the versions are those of a live process; well below UnchangedObjects::kTime.
constexpr Duration kRefreshInterval = Seconds(15);
// Time from the first event of a stream until the store has its record, unless the store is slow.
constexpr Duration kRecordDelay = Milliseconds(225);
// The same while each service has one version.
constexpr Duration kRecordDelayOfOneVersion = Milliseconds(600);
constexpr Duration kReadRetryInterval = Milliseconds(250);
constexpr Duration kReadCheckInterval = Milliseconds(5);

const char* ToText(OriginSource aSource)
{
  switch (aSource) {
    case OriginSource::Memory:
      return "memory";
    case OriginSource::Store:
      return "store";
    case OriginSource::OnlyVersion:
      return "only_version";
    case OriginSource::NoRecord:
      return "no_record";
    case OriginSource::StoreNotRead:
      return "store_not_read";
  }
  return "";
}

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

bool HasAdded(const std::vector<HostName>& aBefore, const std::vector<HostName>& aNow)
{
  return std::any_of(aNow.begin(), aNow.end(), [&aBefore](const HostName& aHost) {
    return std::find(aBefore.begin(), aBefore.end(), aHost) == aBefore.end();
  });
}

// Returns the start of which there is a record in memory.
std::optional<StreamStart> FindKnownStart(const StreamOrigins& aOrigins,
                                          const std::string& aAttemptId,
                                          const std::vector<ServiceName>& aServices)
{
  for (const ServiceName& service : aServices) {
    const StreamOrigin origin = aOrigins.Find(aAttemptId, service, net::Now());
    if (origin.kind == OriginKind::Known) {
      return StreamStart{ service, origin.version };
    }
  }
  return std::nullopt;
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
                                           const DataCentreName& aDataCentre, std::uint64_t aSeed,
                                           BackendReader aReadBackends)
  : mState(std::move(aState))
  , mChannel(std::move(aChannel))
  , mStore(std::move(aStore))
  , mDataCentrePrefix(kOriginPrefix + HexText(Hash64(aDataCentre.Text())) + "-")
  , mSeed(aSeed)
  , mElectionEnd(net::Now() + kElectionTime)
  , mOwnListing{ mDataCentrePrefix }
  , mFullListing{ kOriginPrefix }
  , mOwnRead{ [this] { return List(mOwnListing); } }
  , mFullRead{ [this] { return List(mFullListing); } }
  , mBackendRead{ std::move(aReadBackends) }
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
    if (HasAdded(receivers, mChannel->StoreWatchers())) {
      mState->streamOrigins.SendAgain(now);
    }
    receivers = mChannel->StoreWatchers();
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

std::optional<StreamStart> StreamOriginExchange::FindRecord(
  const std::string& aAttemptId, const std::vector<ServiceName>& aServices) const
{
  const std::optional<StreamStart> known =
    FindKnownStart(mState->streamOrigins, aAttemptId, aServices);
  return known ? known : FindListed(StreamOrigins::StreamId(aAttemptId), aServices);
}

std::optional<StreamStart> StreamOriginExchange::FindListed(
  std::uint64_t aStream, const std::vector<ServiceName>& aServices) const
{
  const auto has = [](const auto& aItems, const auto& aItem) {
    return std::find(aItems.begin(), aItems.end(), aItem) != aItems.end();
  };
  for (const Listing* listing : { &mOwnListing, &mFullListing }) {
    for (const StreamGroup& group : listing->groups) {
      if (has(aServices, group.service) && has(group.streams, aStream)) {
        return StreamStart{ group.service, group.version };
      }
    }
  }
  return std::nullopt;
}

net::Task<std::optional<StreamStart>> StreamOriginExchange::FindStart(
  std::string aAttemptId, std::vector<ServiceName> aServices, Time aUntil)
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  FoundOrigin found{ FindRecord(aAttemptId, aServices), OriginSource::Memory };
  if (!found.start) {
    found = co_await FindInStore(aAttemptId, aServices, aUntil);
  }
  const char* const source = ToText(found.source);
  mState->metrics.GetCounter({ "masticstep_stream_origins_total", "source", source })->Add();
  const Time now = net::Now();
  const StreamStart start = found.start.value_or(StreamStart{ aServices.front(), {} });
  telemetry::Log(found.start ? Level::Info : Level::Warning,
                 found.start ? "origin of a stream found" : "origin of a stream is unknown",
                 { { "stream", aAttemptId },
                   { "service", start.service.Text() },
                   { "services", static_cast<std::uint64_t>(aServices.size()) },
                   { "source", source },
                   { "software_version", start.version.Text() },
                   { "several_versions", mState->streamOrigins.HasSeveralVersions(now) },
                   { "store_read_age_ms", mFullRead.succeededAt == Time{}
                                            ? -1.0
                                            : ToSeconds(now - mFullRead.succeededAt) * 1000.0 } });
  co_return found.start;
}

net::Task<StreamOriginExchange::FoundOrigin> StreamOriginExchange::FindInStore(
  std::string aAttemptId, std::vector<ServiceName> aServices, Time aUntil)
{
  const Time begin = net::Now();
  // Most callers come back to the same data centre, whose objects are a part of all.
  std::optional<StreamStart> start =
    co_await ReadRecord(mOwnRead, aAttemptId, aServices, begin, aUntil);
  if (start) {
    co_return FoundOrigin{ start, OriginSource::Store };
  }
  const Time second = begin + kRecordDelay;
  start = co_await ReadRecord(mFullRead, aAttemptId, aServices, second, aUntil);
  if (start) {
    co_return FoundOrigin{ start, OriginSource::Store };
  }
  // An engine that began a stream before the lookup has an entry by now, whatever the store pollers
  // have noticed.
  const bool areBackendsRead = co_await AwaitRead(mBackendRead, begin, aUntil);
  if (!areBackendsRead || mFullRead.succeededAt < second) {
    co_return FoundOrigin{ std::nullopt, OriginSource::StoreNotRead };
  }
  const ServiceName& service = aServices.front();
  const StreamOrigin origin = mState->streamOrigins.Find(aAttemptId, service, net::Now());
  if (origin.kind != OriginKind::Unknown) {
    co_return FoundOrigin{ StreamStart{ service, origin.version }, OriginSource::OnlyVersion };
  }
  start = co_await ReadRecord(mOwnRead, std::move(aAttemptId), std::move(aServices),
                              begin + kRecordDelayOfOneVersion, aUntil);
  co_return FoundOrigin{ start, start ? OriginSource::Store : OriginSource::NoRecord };
}

net::Task<std::optional<StreamStart>> StreamOriginExchange::ReadRecord(
  SharedRead& aRead, std::string aAttemptId, std::vector<ServiceName> aServices, Time aAt,
  Time aUntil)
{
  const Time at = std::min(aAt, aUntil);
  if (at > net::Now()) {
    co_await net::Sleep(at - net::Now());
  }
  co_await AwaitRead(aRead, at, aUntil);
  // A record may have come as a datagram too.
  co_return FindRecord(aAttemptId, aServices);
}

net::Task<bool> StreamOriginExchange::AwaitRead(SharedRead& aRead, Time aSince, Time aUntil)
{
  while (aRead.succeededAt < aSince) {
    const Time now = net::Now();
    if (now >= aUntil || aRead.failedAt >= aSince) {
      co_return false;
    }
    StartReading(aRead);
    co_await net::Sleep(std::min(kReadCheckInterval, aUntil - now));
  }
  co_return true;
}

void StreamOriginExchange::StartReading(SharedRead& aRead)
{
  if (aRead.isReading || net::Now() < aRead.mayReadAt) {
    return;
  }
  boost::asio::co_spawn(
    mState->executor, [self = shared_from_this(), &aRead] { return self->Read(aRead); },
    boost::asio::detached);
}

net::Task<void> StreamOriginExchange::Read(SharedRead& aRead)
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  if (std::exchange(aRead.isReading, true)) {
    co_return;
  }
  const Time begin = net::Now();
  const bool isRead = co_await aRead.read();
  if (isRead) {
    aRead.succeededAt = begin;
  } else {
    aRead.failedAt = begin;
    aRead.mayReadAt = net::Now() + kReadRetryInterval;
  }
  aRead.isReading = false;
}

net::Task<bool> StreamOriginExchange::List(Listing& aListing)
{
  std::vector<platform::ObjectChange> objects;
  platform::ListRequest list{ aListing.prefix, {} };
  bool hasMore = true;
  while (hasMore) {
    platform::PlatformCall call = list;
    PlatformReply page = co_await Call(std::move(call));
    if (page.status != PlatformStatus::Done) {
      co_return false;
    }
    hasMore = page.hasMore && !page.items.empty();
    std::move(page.items.begin(), page.items.end(), std::back_inserter(objects));
    list.after = hasMore ? objects.back().key.Text().substr(list.prefix.size()) : std::string{};
  }
  OnListed(aListing, objects, net::Now());
  co_return true;
}

void StreamOriginExchange::OnListed(Listing& aListing,
                                    const std::vector<platform::ObjectChange>& aObjects, Time aNow)
{
  std::vector<ServiceVersion> versions;
  aListing.groups.clear();
  for (const platform::ObjectChange& object : aObjects) {
    Result<StoredOrigins, std::string> origins = DecodeStoredOrigins(object.body);
    if (!origins) {
      telemetry::Log(Level::Warning, "object about stream origins ignored",
                     { { "key", object.key.Text() }, { "problem", origins.error() } });
      continue;
    }
    std::move(origins->groups.begin(), origins->groups.end(), std::back_inserter(aListing.groups));
    versions.insert(versions.end(), origins->versions.begin(), origins->versions.end());
  }
  // The objects of one data centre do not tell all that was in service.
  if (&aListing == &mFullListing) {
    mUnchangedObjects.OnListed(aObjects, aNow);
    mState->streamOrigins.OnHistoryRead(versions, aNow);
  }
}

net::Task<void> StreamOriginExchange::SyncWithStore()
{
  const std::shared_ptr<StreamOriginExchange> self = shared_from_this();
  FeedBackoff backoff(mSeed);
  while (mFullRead.succeededAt == Time{} && !mState->streamOrigins.IsHistoryComplete(net::Now())) {
    co_await Read(mFullRead);
    if (mFullRead.succeededAt == Time{}) {
      co_await net::Sleep(backoff.NextDelay());
    }
  }
  while (true) {
    mState->storeSync.hasJoined = net::Now() >= mElectionEnd;
    if (mState->storeSync.isStorePoller && mState->storeSync.hasJoined) {
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
    co_await Read(mFullRead);
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
  OnRecordsWritten(isWritten);
  if (isWritten) {
    mSlots.OnWritten(*slot);
  }
}

void StreamOriginExchange::OnRecordsWritten(bool aIsWritten)
{
  const char* const result = aIsWritten ? "stored" : "failed";
  mState->metrics.GetCounter({ "masticstep_stream_origin_writes_total", "result", result })->Add();
  if (std::exchange(mAreRecordsStored, aIsWritten) != aIsWritten) {
    telemetry::Log(
      aIsWritten ? Level::Info : Level::Warning,
      aIsWritten ? "records of streams are stored again" : "records of streams cannot be stored",
      { { "records", static_cast<std::uint64_t>(mState->streamOrigins.StreamCount()) } });
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

net::Task<std::optional<StreamStart>> FindStreamStart(RelayState& aState, std::string aAttemptId,
                                                      std::vector<ServiceName> aServices,
                                                      Time aUntil)
{
  const std::shared_ptr<StreamOriginExchange> exchange = aState.streamOriginExchange.lock();
  if (exchange) {
    co_return co_await exchange->FindStart(std::move(aAttemptId), std::move(aServices), aUntil);
  }
  const std::optional<StreamStart> known =
    FindKnownStart(aState.streamOrigins, aAttemptId, aServices);
  if (known) {
    co_return known;
  }
  const StreamOrigin origin = aState.streamOrigins.Find(aAttemptId, aServices.front(), net::Now());
  co_return origin.kind == OriginKind::Unknown
    ? std::nullopt
    : std::optional<StreamStart>(StreamStart{ aServices.front(), origin.version });
}

} // namespace masticstep::relay
