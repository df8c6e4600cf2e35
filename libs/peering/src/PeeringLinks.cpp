// The part of Peering::Core that moves messages between the machine and its links.
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

// A peer that refuses connections is tried again after this time.
constexpr Duration kRetryAfterFailure = Milliseconds(500);

} // namespace

void Peering::Core::Carry(PeerActions aActions)
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
  if (const std::shared_ptr<PeerLink> link = LinkTo(aSend.address)) {
    link->Send(*std::move(frame));
  }
}

// Returns the link to the address and opens one if there is none, unless that failed just now.
std::shared_ptr<PeerLink> Peering::Core::LinkTo(const std::string& aAddress)
{
  const std::map<std::string, std::shared_ptr<PeerLink>>::iterator it = mByAddress.find(aAddress);
  if (it != mByAddress.end()) {
    return it->second;
  }
  const std::map<std::string, Time>::iterator failed = mFailedAt.find(aAddress);
  if (failed != mFailedAt.end() && net::Now() - failed->second < kRetryAfterFailure) {
    return nullptr;
  }
  std::shared_ptr<PeerLink> link = AddLink(aAddress);
  mByAddress[aAddress] = link;
  link->Send(HelloFrame(true));
  asio::co_spawn(
    mStrand, [self = shared_from_this(), link] { return self->RunConnecting(link); },
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
    aLink.Close("first frame is not a hello");
    return;
  }
  if (std::optional<PeerMessage> message = FromWire(aMessage)) {
    Apply([&aLink, &message](PeerStateMachine& aMachine, Time aNow) {
      return aMachine.OnMessage(aLink.mAddress, *message, aNow);
    });
  }
}

void Peering::Core::OnHello(PeerLink& aLink, const wire::Hello& aHello)
{
  if (aLink.mAddress.empty()) {
    if (aHello.address.empty()) {
      aLink.Close("hello without an address");
      return;
    }
    aLink.mAddress = aHello.address;
    mFailedAt.erase(aHello.address);
    mByAddress.emplace(aHello.address, aLink.shared_from_this());
  }
  if (aHello.replyWanted) {
    aLink.Send(HelloFrame(false));
  }
}

void Peering::Core::OnClosed(PeerLink& aLink, const std::string& aReason)
{
  const std::map<std::string, std::shared_ptr<PeerLink>>::iterator it =
    mByAddress.find(aLink.mAddress);
  const bool wasUsed = it != mByAddress.end() && it->second.get() == &aLink;
  const bool isPlanned = aReason == "idle" || mIsStopped;
  if (wasUsed) {
    mByAddress.erase(it);
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLinks.erase(aLink.shared_from_this());
    mCounters.links = mLinks.size();
    mCounters.bytesSent += aLink.mBytesSent;
    mCounters.bytesReceived += aLink.mBytesReceived;
    mOpen = {}; // counted again with the next check of the open links
    mCounters.linksDropped += !isPlanned && !aLink.mAddress.empty() ? 1U : 0U;
    mCounters.linksRefused += !isPlanned && aLink.mAddress.empty() ? 1U : 0U;
  }
  if (isPlanned) {
    return;
  }
  telemetry::Log(aLink.mAddress.empty() ? Level::Warning : Level::Info, "peer link closed",
                 { { "peer", aLink.mAddress }, { "reason", aReason } });
  if (!wasUsed) {
    return;
  }
  if (aLink.mBytesReceived == 0) {
    mFailedAt[aLink.mAddress] = net::Now();
  }
  // The machine probes the peer, which opens the next link.
  Apply([address = aLink.mAddress](PeerStateMachine& aMachine, Time aNow) {
    return aMachine.OnLinkFailed(address, aNow);
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
  counters.bytesSent += mOpen.bytesSent;
  counters.bytesReceived += mOpen.bytesReceived;
  return counters;
}

} // namespace masticstep
