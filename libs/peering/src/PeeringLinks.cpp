// Part of Peering::Core: message transfer between the state machine and the links.
#include "PeeringCore.hpp"
#include "PeeringCoreApply.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace masticstep {

namespace asio = boost::asio;
using telemetry::Level;

namespace {

// Minimum time between a failed connection attempt and the next one to the same peer.
constexpr Duration kReconnectDelay = Milliseconds(500);

} // namespace

void Peering::Core::ExecuteActions(PeerActions aActions)
{
  if (mIsStopped) {
    return;
  }
  for (const OutgoingPeerMessage& send : aActions.sends) {
    Send(send);
  }
  if (mEvents.onMember) {
    for (const MemberRecord& member : aActions.members) {
      mEvents.onMember(member);
    }
  }
  if (mEvents.onEntry) {
    for (const Entry& entry : aActions.entries) {
      mEvents.onEntry(entry);
    }
  }
  if (mEvents.onConfiguration && aActions.configuration) {
    mEvents.onConfiguration(*aActions.configuration);
  }
}

void Peering::Core::Send(const OutgoingPeerMessage& aSend)
{
  if (aSend.address == mAddress) {
    return;
  }
  Result<std::string, wire::WireError> frame = wire::EncodeFrame(ToWire(aSend.message));
  if (!frame) {
    telemetry::Log(Level::Error, "peer message not sent", { { "reason", frame.error().message } });
    return;
  }
  if (const std::shared_ptr<PeerLink> link = FindOrOpenLink(aSend.address)) {
    link->Send(*std::move(frame));
  }
}

// Returns the link to the address, opening one if none exists. Returns null within
// kReconnectDelay of a failed attempt.
std::shared_ptr<PeerLink> Peering::Core::FindOrOpenLink(const std::string& aAddress)
{
  const std::map<std::string, std::shared_ptr<PeerLink>>::iterator it = mSendLinks.find(aAddress);
  if (it != mSendLinks.end()) {
    return it->second;
  }
  const std::map<std::string, Time>::iterator failed = mConnectFailedAt.find(aAddress);
  if (failed != mConnectFailedAt.end() && net::Now() - failed->second < kReconnectDelay) {
    return nullptr;
  }
  std::shared_ptr<PeerLink> link = AddLink(aAddress);
  mSendLinks[aAddress] = link;
  link->Send(HelloFrame(true));
  asio::co_spawn(
    mStrand, [self = shared_from_this(), link] { return self->RunOutgoingLink(link); },
    asio::detached);
  return link;
}

std::shared_ptr<PeerLink> Peering::Core::AddLink(const std::string& aAddress)
{
  const std::weak_ptr<Core> weak = weak_from_this();
  PeerLink::Handlers handlers;
  handlers.now = net::Now;
  handlers.onMessage = [weak](PeerLink& aLink, const wire::Message& aMessage) {
    if (const std::shared_ptr<Core> self = weak.lock()) {
      self->OnMessage(aLink, aMessage);
    }
  };
  handlers.onClosed = [weak](PeerLink& aLink, const std::string& aReason) {
    if (const std::shared_ptr<Core> self = weak.lock()) {
      self->OnClosed(aLink, aReason);
    }
  };
  std::shared_ptr<PeerLink> link =
    std::make_shared<PeerLink>(mStrand, aAddress, std::move(handlers));
  mLinks.insert(link);
  const std::lock_guard<std::mutex> lock(mMutex);
  mCounters.links = mLinks.size();
  return link;
}

void Peering::Core::OnMessage(PeerLink& aLink, const wire::Message& aMessage)
{
  if (const wire::Hello* hello = std::get_if<wire::Hello>(&aMessage)) {
    OnHello(aLink, *hello);
    return;
  }
  if (aLink.mAddress.empty()) {
    aLink.Close("first frame is not a Hello");
    return;
  }
  if (std::optional<PeerMessage> message = FromWire(aMessage)) {
    Apply([&aLink, &message](PeerStateMachine& aStateMachine, Time aNow) {
      return aStateMachine.OnMessage(aLink.mAddress, *message, aNow);
    });
  }
}

void Peering::Core::OnHello(PeerLink& aLink, const wire::Hello& aHello)
{
  if (aLink.mAddress.empty()) {
    if (aHello.address.empty()) {
      aLink.Close("Hello has no address");
      return;
    }
    aLink.mAddress = aHello.address;
    mConnectFailedAt.erase(aHello.address);
    mSendLinks.emplace(aHello.address, aLink.shared_from_this());
  }
  if (aHello.replyWanted) {
    aLink.Send(HelloFrame(false));
  }
}

void Peering::Core::OnClosed(PeerLink& aLink, const std::string& aReason)
{
  const std::map<std::string, std::shared_ptr<PeerLink>>::iterator it =
    mSendLinks.find(aLink.mAddress);
  const bool wasSendLink = it != mSendLinks.end() && it->second.get() == &aLink;
  const bool isPlanned = aReason == "idle" || mIsStopped;
  if (wasSendLink) {
    mSendLinks.erase(it);
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLinks.erase(aLink.shared_from_this());
    mCounters.links = mLinks.size();
    mCounters.bytesSent += aLink.mBytesSent;
    mCounters.bytesReceived += aLink.mBytesReceived;
    mOpenLinkCounters = {}; // recomputed by the next CheckLinks
    mCounters.linksDropped += !isPlanned && !aLink.mAddress.empty() ? 1U : 0U;
    mCounters.linksRefused += !isPlanned && aLink.mAddress.empty() ? 1U : 0U;
  }
  if (isPlanned) {
    return;
  }
  telemetry::Log(aLink.mAddress.empty() ? Level::Warning : Level::Info, "peer link closed",
                 { { "peer", aLink.mAddress }, { "reason", aReason } });
  if (!wasSendLink) {
    return;
  }
  if (aLink.mBytesReceived == 0) {
    mConnectFailedAt[aLink.mAddress] = net::Now();
  }
  // The state machine then probes the peer, which opens a new link.
  Apply([address = aLink.mAddress](PeerStateMachine& aStateMachine, Time aNow) {
    return aStateMachine.OnLinkFailed(address, aNow);
  });
}

std::string Peering::Core::HelloFrame(bool aReplyWanted) const
{
  const wire::Hello hello{ mSettings.host.Text(), mAddress, mSettings.dataCentre.Text(),
                           mSettings.region.Text(), aReplyWanted };
  return *wire::EncodeFrame(hello);
}

PeeringCounters Peering::Core::Counters() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  PeeringCounters counters = mCounters;
  counters.bytesSent += mOpenLinkCounters.bytesSent;
  counters.bytesReceived += mOpenLinkCounters.bytesReceived;
  return counters;
}

} // namespace masticstep
