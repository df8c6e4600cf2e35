#include "WorkReportChannel.hpp"

#include "ServiceNeeds.hpp"
#include "StoreCall.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/duties/StoreRoles.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"
#include "masticstep/wire/CrashReport.hpp"
#include "masticstep/wire/DutyReport.hpp"
#include "masticstep/wire/FreshnessMessage.hpp"
#include "masticstep/wire/OriginReport.hpp"
#include "masticstep/wire/WorkReport.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using platform::PlatformReply;
using platform::PlatformStatus;
using telemetry::Level;

namespace {

// Key prefix of the daemons' entries in the store.
const std::string kDaemonPrefix = "masticstep-daemons/";
// A prefill takes some tens of milliseconds, so older reports are of little use.
constexpr Duration kReportInterval = Milliseconds(20);
// With more peers than this, the report interval grows, so that the number of datagrams per second
// stays the same.
constexpr std::int64_t kPeersAtFullRate = 3;
// An unchanged report is repeated at this interval, before the peers discard it.
constexpr Duration kKeepAliveInterval = Milliseconds(300);
// Daemons that start later are discovered by their reports.
constexpr Duration kDiscoverInterval = Seconds(60);
// Daemons may start at the same time, so the first list may be incomplete.
constexpr Duration kSecondDiscoveryDelay = Seconds(3);
constexpr Duration kRetryInterval = Milliseconds(1000);
// After a restore of the store, all daemons read the entries within this time, not at once.
constexpr Duration kRediscoverySpread = Milliseconds(1000);
constexpr Duration kEraCheckInterval = Milliseconds(250);
constexpr std::size_t kMaximumPeers = 128;
constexpr IntegerRange kPorts{ 1, 65535 };
// Needs are sums over several seconds, so they change slowly.
constexpr Duration kNeedInterval = Seconds(1);

// Adds a host to a set or removes it. The set stays within kMaximumPeers.
void SetMember(std::set<HostName>& aHosts, const HostName& aHost, bool aIsMember)
{
  if (!aIsMember) {
    aHosts.erase(aHost);
  } else if (aHosts.size() < kMaximumPeers) {
    aHosts.insert(aHost);
  }
}

} // namespace

std::shared_ptr<WorkReportChannel> WorkReportChannel::Create(
  std::shared_ptr<RelayState> aState, std::shared_ptr<platform::ObjectStore> aStore, HostName aHost,
  DataCentreName aDataCentre, net::HostPort aAddress)
{
  boost::system::error_code ec;
  Udp::socket socket(aState->executor);
  socket.open(Udp::v4(), ec);
  if (!ec) {
    socket.bind(Udp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port), ec);
  }
  if (!ec) {
    socket.non_blocking(true, ec);
  }
  if (ec) {
    telemetry::Log(Level::Error,
                   "work report socket cannot be bound; continuing without peer reports",
                   { { "address", net::ToString(aAddress) }, { "problem", ec.message() } });
    return nullptr;
  }
  aAddress.port = socket.local_endpoint().port();
  return std::shared_ptr<WorkReportChannel>(
    new WorkReportChannel(std::move(aState), std::move(aStore), std::move(aHost),
                          std::move(aDataCentre), std::move(aAddress), std::move(socket)));
}

WorkReportChannel::WorkReportChannel(std::shared_ptr<RelayState> aState,
                                     std::shared_ptr<platform::ObjectStore> aStore, HostName aHost,
                                     DataCentreName aDataCentre, net::HostPort aAddress,
                                     Udp::socket aSocket)
  : mState(std::move(aState))
  , mStore(std::move(aStore))
  , mHost(std::move(aHost))
  , mDataCentre(std::move(aDataCentre))
  , mAddress(std::move(aAddress))
  , mSocket(std::move(aSocket))
  , mRandom(Hash64(mHost.Text()))
{
}

net::Task<void> WorkReportChannel::Receive()
{
  const std::shared_ptr<WorkReportChannel> self = shared_from_this();
  std::string buf(wire::kMaximumWorkReportBytes, '\0');
  while (true) {
    Udp::endpoint sender;
    const auto [ec, n] = co_await mSocket.async_receive_from(asio::buffer(buf), sender,
                                                             asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    const std::string_view datagram(buf.data(), n);
    if (wire::IsCrashReport(datagram)) {
      mOnCrashReport(datagram);
    } else if (wire::IsOriginReport(datagram)) {
      mOnOriginReport(datagram);
    } else if (wire::IsFreshnessMessage(datagram)) {
      SendTo(sender, mOnFreshnessMessage(datagram));
    } else if (wire::IsDutyReport(datagram)) {
      mOnDutyReport(datagram);
    } else {
      Apply(datagram, sender);
    }
  }
}

void WorkReportChannel::Apply(std::string_view aDatagram, const Udp::endpoint& aSender)
{
  const Result<wire::WorkReport, wire::WireError> report = wire::DecodeWorkReport(aDatagram);
  if (!report || report->host == mHost) {
    return;
  }
  const bool isKnown = std::find(mPeers.begin(), mPeers.end(), aSender) != mPeers.end();
  if (!isKnown && mPeers.size() < kMaximumPeers) {
    mPeers.push_back(aSender);
  }
  if (mEndpoints.size() < kMaximumPeers || mEndpoints.contains(report->host)) {
    mEndpoints[report->host] = aSender;
  }
  SetMember(mPeersInNeed, report->host, report->needsStandby);
  const bool wasStoreLost = mPeersWithoutStore.contains(report->host);
  SetMember(mPeersWithoutStore, report->host, report->isStoreLost);
  mState->storeSync.peersRecoveries += wasStoreLost && !report->isStoreLost ? 1 : 0;
  dispatch::WorkByBackend work;
  for (const wire::BackendWork& item : report->backends) {
    work[item.backend] = { item.prefillTime, item.requests, item.tokens };
  }
  StoreSyncState& storeSync = mState->storeSync;
  storeSync.storeEra = std::max(storeSync.storeEra, report->storeEra);
  storeSync.peersNewestEntryRevision =
    std::max(storeSync.peersNewestEntryRevision, { report->newestEntry, report->storeEra });
  storeSync.peersConfigurationVersion =
    std::max(storeSync.peersConfigurationVersion, report->configuration);
  storeSync.peersBackendChangeRevision =
    std::max(storeSync.peersBackendChangeRevision, { report->backendChanges, report->storeEra });
  const Time now = net::Now();
  if (report->storeAge) {
    const Time contact = now - *report->storeAge;
    storeSync.peersStoreContact = std::max(storeSync.peersStoreContact.value_or(contact), contact);
  }
  if (report->clock > Duration::zero()) {
    mState->duties.clock.OnPeerReading(report->host, duties::UnixTime(report->clock), now);
  }
  if (!report->needs.empty()) {
    mState->stageDemand.OnPeerNeed(report->host, ToNeeds(report->needs), now);
  }
  mState->dispatcher.OnPeerWork(report->host, report->sequence, std::move(work), now);
}

void WorkReportChannel::AssignStoreRoles(Time aNow)
{
  std::vector<duties::StorePeer> peers;
  for (HostName& host : mState->dispatcher.ActivePeers(aNow)) {
    const bool needsStandby = mPeersInNeed.contains(host);
    peers.push_back({ std::move(host), needsStandby });
  }
  duties::StoreRoles roles = duties::AssignStoreRoles(mHost, std::move(peers));
  StoreSyncState& storeSync = mState->storeSync;
  if (roles.isPoller != storeSync.isStorePoller) {
    telemetry::Log(
      Level::Info, roles.isPoller ? "daemon acts as store poller" : "daemon is no store poller",
      { { "peers_that_need_standby", static_cast<std::uint64_t>(mPeersInNeed.size()) } });
  }
  storeSync.isStorePoller = roles.isPoller;
  storeSync.isStoreWatcher = roles.isWatcher;
  storeSync.mayHaveFollowers = roles.hasFollowers;
  mStoreWatchers = std::move(roles.otherWatchers);
}

bool WorkReportChannel::NeedsStandby(Time aNow) const
{
  return !mState->storeSync.hasJoined || mState->drain || mState->storeReach.IsLost(aNow);
}

void WorkReportChannel::SendToStoreWatchers(const std::string& aDatagram)
{
  for (const HostName& host : mStoreWatchers) {
    const std::map<HostName, Udp::endpoint>::const_iterator endpoint = mEndpoints.find(host);
    if (endpoint != mEndpoints.end()) {
      SendTo(endpoint->second, aDatagram);
    }
  }
}

void WorkReportChannel::SendToHost(const HostName& aHost, const std::string& aDatagram)
{
  const std::map<HostName, Udp::endpoint>::const_iterator endpoint = mFleetEndpoints.find(aHost);
  if (endpoint != mFleetEndpoints.end()) {
    SendTo(endpoint->second, aDatagram);
  } else {
    // It has registered since the entries were read.
    mRediscovers = true;
  }
}

void WorkReportChannel::SendTo(const Udp::endpoint& aReceiver, const std::string& aDatagram)
{
  if (!aDatagram.empty()) {
    boost::system::error_code ignored;
    mSocket.send_to(asio::buffer(aDatagram), aReceiver, 0, ignored);
  }
}

net::Task<void> WorkReportChannel::SendReports()
{
  const std::shared_ptr<WorkReportChannel> self = shared_from_this();
  dispatch::WorkByBackend sent;
  Time sentAt{};
  Time needsSentAt{};
  bool toldNeedsStandby = false;
  while (true) {
    co_await net::Sleep(kReportInterval);
    const Time now = net::Now();
    AssignStoreRoles(now);
    const bool needsStandby = NeedsStandby(now);
    dispatch::WorkByBackend work = mState->dispatcher.LocalWork(now);
    const std::int64_t intervalFactor = static_cast<std::int64_t>(mPeers.size()) / kPeersAtFullRate;
    const bool isThrottled = now < sentAt + kReportInterval * intervalFactor;
    const bool isUnchanged = work == sent && now < sentAt + kKeepAliveInterval;
    // The standby must act at once, while records of streams are not stored.
    const bool isUrgent = needsStandby != toldNeedsStandby;
    if (mPeers.empty() || (!isUrgent && (isThrottled || isUnchanged))) {
      continue;
    }
    wire::WorkReport report{ mHost,
                             static_cast<std::uint64_t>(now.time_since_epoch().count()),
                             {},
                             mState->storeSync.newestEntryRevision.value,
                             mState->table ? mState->table->Version() : 0,
                             {},
                             mState->storeSync.backendChangeRevision.value,
                             {},
                             mState->storeSync.newestEntryRevision.era };
    if (mState->duties.windows) {
      report.clock = net::TimeOfDay().time_since_epoch();
    }
    if (mState->storeSync.storeContact) {
      report.storeAge = now - *mState->storeSync.storeContact;
    }
    report.needsStandby = needsStandby;
    report.isStoreLost = mState->storeReach.IsLost(now);
    toldNeedsStandby = needsStandby;
    for (const auto& [id, item] : work) {
      report.backends.push_back({ id, item.prefillTime, item.requests, item.tokens });
    }
    if (now >= needsSentAt + kNeedInterval) {
      report.needs = ToWire(mState->stageDemand.LocalNeed(now));
      needsSentAt = now;
    }
    Broadcast(wire::EncodeWorkReport(report));
    sent = std::move(work);
    sentAt = now;
  }
}

void WorkReportChannel::Broadcast(const std::string& aDatagram)
{
  for (const Udp::endpoint& peer : mPeers) {
    SendTo(peer, aDatagram);
  }
}

void WorkReportChannel::SendToFleet(const std::string& aDatagram, Receivers aReceivers,
                                    Random& aRandom)
{
  SendToSome(aDatagram, mPeers, aReceivers.local, aRandom);
  SendToSome(aDatagram, mRemotePeers, aReceivers.remote, aRandom);
}

void WorkReportChannel::SendToSome(const std::string& aDatagram, std::vector<Udp::endpoint> aPeers,
                                   std::size_t aCount, Random& aRandom)
{
  for (std::size_t i = 0; i < aCount && i < aPeers.size(); ++i) {
    std::swap(aPeers[i], aPeers[i + aRandom.Below(aPeers.size() - i)]);
    SendTo(aPeers[i], aDatagram);
  }
}

std::string WorkReportChannel::OwnEntry() const
{
  return boost::json::serialize(boost::json::object{
    { "ip", mAddress.host }, { "port", mAddress.port }, { "data_centre", mDataCentre.Text() } });
}

net::Task<PlatformReply> WorkReportChannel::Call(platform::PlatformCall aCall)
{
  co_return co_await CallStore(*mStore, mState->executor, mNextCall++, std::move(aCall));
}

net::Task<void> WorkReportChannel::DiscoverPeers()
{
  const std::shared_ptr<WorkReportChannel> self = shared_from_this();
  bool isFirst = true;
  bool isAfterRestore = false;
  std::uint64_t era = 0; // of the store, in which the entries were read
  while (true) {
    platform::PlatformCall list = platform::ListRequest{ kDaemonPrefix, {} };
    const PlatformReply listed = co_await Call(std::move(list));
    if (listed.status == PlatformStatus::Done) {
      // A restored store may have lost entries that their daemons are about to write again.
      if (!std::exchange(isAfterRestore, false)) {
        UpdatePeers(listed.items);
      }
      era = listed.era;
      mIsRegistered = co_await Register(listed.items);
    }
    const bool isDone = mIsRegistered && listed.status == PlatformStatus::Done;
    if (!isDone) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    const Duration pause =
      std::exchange(isFirst, false) ? kSecondDiscoveryDelay : kDiscoverInterval;
    const Time end = net::Now() + pause;
    mRediscovers = false;
    while (net::Now() < end && mState->storeSync.storeEra <= era && !mRediscovers) {
      co_await net::Sleep(std::min(kEraCheckInterval, end - net::Now()));
    }
    if (mState->storeSync.storeEra > era) {
      isFirst = true;
      isAfterRestore = true;
      co_await net::Sleep(FromSeconds(mRandom.Uniform() * ToSeconds(kRediscoverySpread)));
    }
  }
}

net::Task<bool> WorkReportChannel::Register(const std::vector<platform::ObjectChange>& aEntries)
{
  const platform::ObjectKey key{ kDaemonPrefix + mHost.Text() };
  std::optional<platform::Version> found;
  for (const platform::ObjectChange& entry : aEntries) {
    if (entry.key != key) {
      continue;
    }
    if (entry.body == OwnEntry()) {
      co_return true;
    }
    // Entry of an earlier process of the same host, at another address.
    found = entry.version;
  }
  platform::PlatformCall write = platform::ConditionalWrite{ key, found, OwnEntry() };
  const PlatformReply written = co_await Call(std::move(write));
  co_return written.status == PlatformStatus::Done;
}

void WorkReportChannel::UpdatePeers(const std::vector<platform::ObjectChange>& aEntries)
{
  std::vector<Udp::endpoint> peers;
  std::vector<Udp::endpoint> remotePeers;
  std::vector<HostName> hosts{ mHost };
  std::map<HostName, Udp::endpoint> endpoints;
  for (const platform::ObjectChange& entry : aEntries) {
    Faults faults;
    const std::optional<boost::json::object> object =
      ParseObject(entry.body, entry.key.Text(), faults);
    if (!object || entry.key.Text() == kDaemonPrefix + mHost.Text()) {
      continue;
    }
    hosts.emplace_back(entry.key.Text().substr(kDaemonPrefix.size()));
    ObjectReader reader(*object, entry.key.Text(), "$", faults);
    const std::string ip = reader.RequiredString("ip");
    const std::int64_t port = reader.RequiredInteger("port", kPorts);
    const std::string dataCentre = reader.RequiredString("data_centre");
    boost::system::error_code ec;
    const asio::ip::address address = asio::ip::make_address(ip, ec);
    const bool isRemote = dataCentre != mDataCentre.Text();
    std::vector<Udp::endpoint>& group = isRemote ? remotePeers : peers;
    if (faults.empty() && !ec && (isRemote || peers.size() < kMaximumPeers)) {
      group.emplace_back(address, static_cast<std::uint16_t>(port));
      endpoints[hosts.back()] = group.back();
    }
  }
  mFleetEndpoints = std::move(endpoints);
  mPeers = std::move(peers);
  mRemotePeers = std::move(remotePeers);
  // The entries of daemons that have left remain, which makes each share smaller but never too
  // large.
  mState->retryBudget.SetDaemonCount(aEntries.size());
  mState->dispatcher.SetFleet(mHost, std::move(hosts));
}

} // namespace masticstep::relay
