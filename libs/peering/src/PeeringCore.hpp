#pragma once

#include "PeerLink.hpp"
#include "TlsMaterial.hpp"
#include "masticstep/peering/PeerStateMachine.hpp"
#include "masticstep/peering/Peering.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <mutex>
#include <set>

namespace masticstep {

// Connects the state machine with its links. The machine is used under mMutex by any thread; links,
// the acceptor, the timer and the event functions are used on the strand only.
class Peering::Core : public std::enable_shared_from_this<Peering::Core>
{
public:
  Core(boost::asio::io_context& aContext, PeeringSettings aSettings, PeeringEvents aEvents);

  Result<void, PeeringError> Open();
  void Start();
  void Stop();
  void ReloadCertificates();

  // Runs a call of the machine under its lock and carries out the actions on the strand.
  template <class Call>
  void Apply(Call aCall);
  template <class Call>
  auto Read(Call aCall) const;

  const std::string& Address() const { return mAddress; }
  PeeringCounters Counters() const;

private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  Result<void, PeeringError> Listen();
  net::Task<void> AcceptLoop();
  net::Task<void> TimerLoop();
  net::Task<void> RunAccepted(std::shared_ptr<PeerLink> aLink,
                              boost::asio::ip::tcp::socket aSocket);
  net::Task<void> RunConnecting(std::shared_ptr<PeerLink> aLink);
  void Carry(PeerActions aActions);
  void Send(const OutgoingPeerMessage& aSend);
  std::shared_ptr<PeerLink> LinkTo(const std::string& aAddress);
  std::shared_ptr<PeerLink> AddLink(const std::string& aAddress);
  void OnMessage(PeerLink& aLink, const wire::Message& aMessage);
  void OnHello(PeerLink& aLink, const wire::Hello& aHello);
  void OnClosed(PeerLink& aLink, const std::string& aReason);
  void CheckLinks(Time aNow);
  void CheckCertificates(Time aNow);
  std::string HelloFrame(bool aReplyWanted) const;

  const PeeringSettings mSettings;
  const PeeringEvents mEvents;
  Strand mStrand;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimer;
  std::optional<TlsMaterial> mTls;
  std::string mAddress;
  bool mIsStopped = false;
  std::set<std::shared_ptr<PeerLink>> mLinks;
  std::map<std::string, std::shared_ptr<PeerLink>> mByAddress; // the link that is used for sending
  std::map<std::string, Time> mFailedAt;                       // last failure to connect
  Time mNextCertificateCheck;
  Time mNextExpiryWarning;

  mutable std::mutex mMutex; // guards mMachine, mCounters and mOpen
  std::optional<PeerStateMachine> mMachine;
  PeeringCounters mCounters; // of closed links, but for the number of open ones
  PeeringCounters mOpen;     // bytes of open links as of the last check
};

} // namespace masticstep
