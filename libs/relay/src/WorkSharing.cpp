#include "WorkSharing.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"
#include "masticstep/wire/WorkReport.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using platform::PlatformReply;
using platform::PlatformStatus;
using telemetry::Level;

namespace {

// Kind of the daemons' entries in the store.
const std::string kPrefix = "masticstep-daemons/";
// Work of a prompt lasts some tens of milliseconds, so older reports are of little use.
constexpr Duration kReportInterval = Milliseconds(20);
// With more others than this, reports are rarer, so that their number a second stays the same.
constexpr std::int64_t kPeersAtInterval = 3;
// A daemon without changes repeats its report before the others forget it.
constexpr Duration kRepeatInterval = Milliseconds(300);
// Daemons that come later are known by their reports.
constexpr Duration kDiscoverInterval = Seconds(60);
// All daemons may start together, so the first list may be short.
constexpr Duration kSecondDiscovery = Seconds(3);
constexpr Duration kRetryInterval = Milliseconds(1000);
constexpr std::size_t kMaximumPeers = 128;
constexpr IntegerRange kPorts{ 1, 65535 };

} // namespace

std::shared_ptr<WorkSharing> WorkSharing::Create(std::shared_ptr<RelayState> aParts,
                                                 std::shared_ptr<platform::ObjectStore> aStore,
                                                 HostName aHost, DataCentreName aDataCentre,
                                                 net::HostPort aAddress)
{
  boost::system::error_code ec;
  Udp::socket socket(aParts->executor);
  socket.open(Udp::v4(), ec);
  if (!ec) {
    socket.bind(Udp::endpoint(asio::ip::make_address(aAddress.host), aAddress.port), ec);
  }
  if (!ec) {
    socket.non_blocking(true, ec);
  }
  if (ec) {
    telemetry::Log(Level::Error, "work is not shared",
                   { { "address", net::ToString(aAddress) }, { "problem", ec.message() } });
    return nullptr;
  }
  aAddress.port = socket.local_endpoint().port();
  return std::shared_ptr<WorkSharing>(new WorkSharing(std::move(aParts), std::move(aStore),
                                                      std::move(aHost), std::move(aDataCentre),
                                                      std::move(aAddress), std::move(socket)));
}

WorkSharing::WorkSharing(std::shared_ptr<RelayState> aParts,
                         std::shared_ptr<platform::ObjectStore> aStore, HostName aHost,
                         DataCentreName aDataCentre, net::HostPort aAddress, Udp::socket aSocket)
  : mParts(std::move(aParts))
  , mStore(std::move(aStore))
  , mHost(std::move(aHost))
  , mDataCentre(std::move(aDataCentre))
  , mAddress(std::move(aAddress))
  , mSocket(std::move(aSocket))
{
}

net::Task<void> WorkSharing::Receive()
{
  const std::shared_ptr<WorkSharing> self = shared_from_this();
  std::string buf(wire::kMaximumWorkReport, '\0');
  while (true) {
    Udp::endpoint sender;
    const auto [ec, n] = co_await mSocket.async_receive_from(asio::buffer(buf), sender,
                                                             asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    Take(std::string_view(buf.data(), n), sender);
  }
}

void WorkSharing::Take(std::string_view aDatagram, const Udp::endpoint& aSender)
{
  const Result<wire::WorkReport, wire::WireError> report = wire::DecodeWorkReport(aDatagram);
  if (!report || report->host == mHost) {
    return;
  }
  const bool isKnown = std::find(mPeers.begin(), mPeers.end(), aSender) != mPeers.end();
  if (!isKnown && mPeers.size() < kMaximumPeers) {
    mPeers.push_back(aSender);
  }
  dispatch::WorkByBackend work;
  for (const wire::BackendWork& item : report->backends) {
    work[item.backend] = { item.read, item.requests, item.tokens };
  }
  StoreSyncState& knowledge = mParts->knowledge;
  knowledge.peersNewestEntry = std::max(knowledge.peersNewestEntry, report->newestEntry);
  knowledge.peersConfiguration = std::max(knowledge.peersConfiguration, report->configuration);
  mParts->dispatcher.OnPeerWork(report->host, report->sequence, std::move(work), net::Now());
}

void WorkSharing::ChooseSentinel(Time aNow)
{
  const std::uint64_t own = Hash64(mHost.Text());
  bool isFirst = true;
  for (const HostName& host : mParts->dispatcher.Peers(aNow)) {
    isFirst = isFirst && own < Hash64(host.Text());
  }
  mParts->knowledge.isSentinel = isFirst;
}

net::Task<void> WorkSharing::Report()
{
  const std::shared_ptr<WorkSharing> self = shared_from_this();
  dispatch::WorkByBackend sent;
  Time sentAt{};
  while (true) {
    co_await net::Sleep(kReportInterval);
    const Time now = net::Now();
    ChooseSentinel(now);
    dispatch::WorkByBackend work = mParts->dispatcher.OwnWork(now);
    const std::int64_t share = static_cast<std::int64_t>(mPeers.size()) / kPeersAtInterval;
    const bool isEarly = now < sentAt + kReportInterval * share;
    if (mPeers.empty() || isEarly || (work == sent && now < sentAt + kRepeatInterval)) {
      continue;
    }
    wire::WorkReport report{ mHost,
                             static_cast<std::uint64_t>(now.time_since_epoch().count()),
                             {},
                             mParts->knowledge.newestEntry,
                             mParts->table ? mParts->table->Version() : 0 };
    for (const auto& [id, item] : work) {
      report.backends.push_back({ id, item.read, item.requests, item.tokens });
    }
    Send(wire::EncodeWorkReport(report));
    sent = std::move(work);
    sentAt = now;
  }
}

void WorkSharing::Send(const std::string& aDatagram)
{
  for (const Udp::endpoint& peer : mPeers) {
    // A datagram that cannot be sent now is as good as lost; the next one follows.
    boost::system::error_code ignored;
    mSocket.send_to(asio::buffer(aDatagram), peer, 0, ignored);
  }
}

std::string WorkSharing::OwnEntry() const
{
  return boost::json::serialize(boost::json::object{
    { "ip", mAddress.host }, { "port", mAddress.port }, { "data_centre", mDataCentre.Text() } });
}

net::Task<PlatformReply> WorkSharing::Call(platform::PlatformCall aCall)
{
  platform::PlatformRequest request;
  request.number = mNextCall++;
  request.call = std::move(aCall);
  const auto submit = [this, &request](auto aHandler) {
    const auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    mStore->Submit(std::move(request),
                   [handler, executor = mParts->executor](PlatformReply aReply) {
                     asio::post(executor, [handler, reply = std::move(aReply)]() mutable {
                       (*handler)(std::move(reply));
                     });
                   });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(PlatformReply)>(
    submit, asio::use_awaitable);
}

net::Task<void> WorkSharing::Discover()
{
  const std::shared_ptr<WorkSharing> self = shared_from_this();
  bool isFirst = true;
  while (true) {
    platform::PlatformCall list = platform::ListRequest{ kPrefix, {} };
    const PlatformReply listed = co_await Call(std::move(list));
    if (listed.status == PlatformStatus::Done) {
      TakePeers(listed.items);
      mIsEntered = co_await Enter(listed.items);
    }
    const bool isDone = mIsEntered && listed.status == PlatformStatus::Done;
    if (!isDone) {
      co_await net::Sleep(kRetryInterval);
      continue;
    }
    const Duration pause = std::exchange(isFirst, false) ? kSecondDiscovery : kDiscoverInterval;
    co_await net::Sleep(pause);
  }
}

net::Task<bool> WorkSharing::Enter(const std::vector<platform::ObjectChange>& aEntries)
{
  const platform::ObjectKey key{ kPrefix + mHost.Text() };
  std::optional<platform::Version> found;
  for (const platform::ObjectChange& entry : aEntries) {
    if (entry.key != key) {
      continue;
    }
    if (entry.body == OwnEntry()) {
      co_return true;
    }
    // Of an earlier process of this name, at another address.
    found = entry.version;
  }
  platform::PlatformCall write = platform::ConditionalWrite{ key, found, OwnEntry() };
  const PlatformReply written = co_await Call(std::move(write));
  co_return written.status == PlatformStatus::Done;
}

void WorkSharing::TakePeers(const std::vector<platform::ObjectChange>& aEntries)
{
  std::vector<Udp::endpoint> peers;
  for (const platform::ObjectChange& entry : aEntries) {
    Faults faults;
    const std::optional<boost::json::object> object =
      ParseObject(entry.body, entry.key.Text(), faults);
    if (!object || entry.key.Text() == kPrefix + mHost.Text() || peers.size() >= kMaximumPeers) {
      continue;
    }
    ObjectReader reader(*object, entry.key.Text(), "$", faults);
    const std::string ip = reader.RequiredString("ip");
    const std::int64_t port = reader.RequiredInteger("port", kPorts);
    const std::string dataCentre = reader.RequiredString("data_centre");
    boost::system::error_code ec;
    const asio::ip::address address = asio::ip::make_address(ip, ec);
    if (faults.empty() && !ec && dataCentre == mDataCentre.Text()) {
      peers.emplace_back(address, static_cast<std::uint16_t>(port));
    }
  }
  mPeers = std::move(peers);
}

} // namespace masticstep::relay
