#include "PeeringCore.hpp"

#include "PeeringCoreApply.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace masticstep {

namespace asio = boost::asio;
using asio::ip::tcp;
using telemetry::Level;

namespace {

// Far below kLinkResponseTimeout, so that timeouts are detected promptly.
constexpr Duration kLinkCheckInterval = Milliseconds(250);
constexpr Duration kCertificateCheckInterval = Seconds(60);
constexpr Duration kExpiryWarningInterval = std::chrono::hours{ 12 };
// Running out of file descriptors must neither end the accept loop nor make it spin.
constexpr Duration kAcceptRetryDelay = Milliseconds(50);
// Bounds the resources that unauthenticated clients can use; a data centre of 74 daemons needs
// about 160 links.
constexpr std::size_t kMaximumLinks = 4096;

} // namespace

Peering::Core::Core(asio::io_context& aContext, PeeringSettings aSettings, PeeringEvents aEvents)
  : mSettings(std::move(aSettings))
  , mEvents(std::move(aEvents))
  , mStrand(asio::make_strand(aContext))
  , mAcceptor(mStrand)
  , mTimer(mStrand)
{
}

Result<void, PeeringError> Peering::Core::Open()
{
  if (mSettings.tls) {
    Result<TlsCredentials, PeeringError> credentials = TlsCredentials::Load(*mSettings.tls);
    if (!credentials) {
      return Failure(credentials.error());
    }
    mTls = *std::move(credentials);
  }
  Result<void, PeeringError> listening = Listen();
  if (!listening) {
    return listening;
  }
  MembershipSettings membership;
  membership.self = { mSettings.host,
                      mAddress,
                      mSettings.dataCentre,
                      mSettings.region,
                      mSettings.initialIncarnation,
                      MemberState::Alive };
  membership.seeds = mSettings.seeds;
  membership.randomSeed = mSettings.randomSeed;
  SpreadSettings spread;
  spread.self = mSettings.host;
  spread.dataCentre = mSettings.dataCentre;
  spread.firstVersion = mSettings.initialIncarnation;
  Result<PeerStateMachine, MembershipError> machine =
    PeerStateMachine::Create(std::move(membership), std::move(spread), net::Now());
  if (!machine) {
    return Failure(PeeringError{ machine.error().message });
  }
  mStateMachine = *std::move(machine);
  return {};
}

Result<void, PeeringError> Peering::Core::Listen()
{
  const Result<net::HostPort, net::NetError> address = net::HostPort::Parse(mSettings.address);
  if (!address) {
    return Failure(PeeringError{ mSettings.address + ": " + address.error().detail });
  }
  boost::system::error_code ec;
  const asio::ip::address host = asio::ip::make_address(address->host, ec);
  if (ec) {
    return Failure(PeeringError{ address->host + " is not an IP address" });
  }
  if (!mTls && !host.is_loopback()) {
    return Failure(
      PeeringError{ "links between daemons without tls are only allowed on loopback, not on " +
                    mSettings.address });
  }
  const tcp::endpoint endpoint(host, address->port);
  mAcceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    mAcceptor.bind(endpoint, ec);
  }
  if (!ec) {
    mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Failure(PeeringError{ "listen on " + mSettings.address + ": " + ec.message() });
  }
  mAddress = net::ToString(net::HostPort{ address->host, mAcceptor.local_endpoint().port() });
  return {};
}

void Peering::Core::Start()
{
  const std::shared_ptr<Core> self = shared_from_this();
  asio::co_spawn(
    mStrand, [self] { return self->AcceptLoop(); }, asio::detached);
  asio::co_spawn(
    mStrand, [self] { return self->TimerLoop(); }, asio::detached);
  Apply([](PeerStateMachine& aStateMachine, Time aNow) { return aStateMachine.Start(aNow); });
}

void Peering::Core::Stop()
{
  asio::post(mStrand, [self = shared_from_this()] {
    self->mIsStopped = true;
    boost::system::error_code ignored;
    self->mAcceptor.close(ignored);
    self->mTimer.cancel();
    for (const std::shared_ptr<PeerLink>& link : std::set(self->mLinks)) {
      link->Close("stopped");
    }
  });
}

net::Task<void> Peering::Core::AcceptLoop()
{
  while (!mIsStopped) {
    auto [ec, socket] = co_await mAcceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (mIsStopped) {
      co_return;
    }
    if (ec || mLinks.size() >= kMaximumLinks) {
      asio::steady_timer pause(mStrand, kAcceptRetryDelay);
      co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const std::shared_ptr<PeerLink> link = AddLink({});
    asio::co_spawn(
      mStrand,
      [self = shared_from_this(), link, moved = std::move(socket)]() mutable {
        return self->RunAcceptedLink(link, std::move(moved));
      },
      asio::detached);
  }
}

net::Task<void> Peering::Core::RunAcceptedLink(std::shared_ptr<PeerLink> aLink, tcp::socket aSocket)
{
  std::unique_ptr<PeerStream> stream =
    MakePeerStream(std::move(aSocket), mTls ? mTls->Server() : nullptr);
  aLink->SetPendingStream(*stream);
  const Result<void, net::NetError> done = co_await stream->Handshake(true);
  aLink->ClearPendingStream();
  if (!done) {
    aLink->Close("handshake: " + done.error().detail);
    co_return;
  }
  aLink->Run(std::move(stream));
}

net::Task<void> Peering::Core::RunOutgoingLink(std::shared_ptr<PeerLink> aLink)
{
  const Result<net::HostPort, net::NetError> address = net::HostPort::Parse(aLink->mAddress);
  if (!address) {
    aLink->Close(address.error().detail);
    co_return;
  }
  Result<tcp::socket, net::NetError> socket = co_await ConnectPeer(*address);
  if (!socket) {
    aLink->Close(socket.error().detail);
    co_return;
  }
  if (!aLink->IsOpen()) {
    co_return; // closed by the response timeout while connecting
  }
  std::unique_ptr<PeerStream> stream =
    MakePeerStream(*std::move(socket), mTls ? mTls->Client() : nullptr);
  aLink->SetPendingStream(*stream);
  const Result<void, net::NetError> done = co_await stream->Handshake(false);
  aLink->ClearPendingStream();
  if (!done) {
    aLink->Close("handshake: " + done.error().detail);
    co_return;
  }
  aLink->Run(std::move(stream));
}

net::Task<void> Peering::Core::TimerLoop()
{
  while (!mIsStopped) {
    const Time now = net::Now();
    const std::optional<Time> due =
      Read([](const PeerStateMachine& aStateMachine) { return aStateMachine.NextWakeUp(); });
    const Duration wait =
      std::clamp(due ? *due - now : kLinkCheckInterval, Duration::zero(), kLinkCheckInterval);
    mTimer.expires_after(wait);
    co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (mIsStopped) {
      co_return;
    }
    const Time later = net::Now();
    if (due && later >= *due) {
      Apply([](PeerStateMachine& aStateMachine, Time aNow) { return aStateMachine.OnTime(aNow); });
    }
    CheckLinks(later);
    CheckCertificates(later);
  }
}

void Peering::Core::CheckLinks(Time aNow)
{
  for (const std::shared_ptr<PeerLink>& link : std::set(mLinks)) {
    if (link->IsResponseOverdue(aNow)) {
      link->Close("silent");
    } else if (link->mAddress.empty() &&
               link->IsIdle(aNow + kLinkIdleTimeout - kLinkResponseTimeout)) {
      link->Close("no Hello received");
    } else if (link->IsIdle(aNow)) {
      link->Close("idle");
    } else if (link->IsKeepAliveDue(aNow)) {
      link->OnKeepAliveSent(aNow);
      link->Send(HelloFrame(true));
    }
  }
  PeeringCounters open;
  for (const std::shared_ptr<PeerLink>& link : mLinks) {
    open.bytesSent += link->mBytesSent;
    open.bytesReceived += link->mBytesReceived;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOpenLinkCounters = open;
  }
  std::erase_if(mConnectFailedAt, [aNow](const std::pair<const std::string, Time>& aItem) {
    return aNow - aItem.second > kLinkIdleTimeout;
  });
}

void Peering::Core::ReloadCertificates()
{
  asio::post(mStrand, [self = shared_from_this()] {
    self->mNextCertificateCheck = Time{};
    self->CheckCertificates(net::Now());
  });
}

void Peering::Core::CheckCertificates(Time aNow)
{
  if (!mTls || aNow < mNextCertificateCheck) {
    return;
  }
  mNextCertificateCheck = aNow + kCertificateCheckInterval;
  const Result<bool, PeeringError> refreshed = mTls->Refresh();
  if (!refreshed) {
    telemetry::Log(Level::Error, "peer certificate not reloaded",
                   { { "reason", refreshed.error().message } });
  } else if (*refreshed) {
    telemetry::Log(Level::Info, "peer certificate reloaded");
    mNextExpiryWarning = Time{};
  }
  if (mTls->TimeToExpiry() < kExpiryWarningPeriod && aNow >= mNextExpiryWarning) {
    mNextExpiryWarning = aNow + kExpiryWarningInterval;
    const std::int64_t hours =
      std::chrono::duration_cast<std::chrono::hours>(mTls->TimeToExpiry()).count();
    telemetry::Log(Level::Warning, "peer certificate expires",
                   { { "hours_left", hours }, { "file", mSettings.tls->certificate } });
  }
}

} // namespace masticstep
