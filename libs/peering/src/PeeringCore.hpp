#pragma once

#include "PeerLink.hpp"
#include "TlsCredentials.hpp"
#include "masticstep/peering/PeerStateMachine.hpp"
#include "masticstep/peering/Peering.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>
#include <mutex>
#include <set>

namespace masticstep {

// Connects the state machine to the links. Any thread may use the state machine while holding
// mMutex; the links, the acceptor, the timer and the callbacks are used on the strand only.
class Peering::Core : public std::enable_shared_from_this<Peering::Core>
{
public:
  Core(boost::asio::io_context& aContext, PeeringSettings aSettings, PeeringEvents aEvents);

  Result<void, PeeringError> Open();
  void Start();
  void Stop();
  void ReloadCertificates();

  // Calls the function with the state machine while holding mMutex, then executes the returned
  // actions on the strand.
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
  net::Task<void> RunAcceptedLink(std::shared_ptr<PeerLink> aLink,
                                  boost::asio::ip::tcp::socket aSocket);
  net::Task<void> RunOutgoingLink(std::shared_ptr<PeerLink> aLink);
  void ExecuteActions(PeerActions aActions);
  void Send(const OutgoingPeerMessage& aSend);
  std::shared_ptr<PeerLink> FindOrOpenLink(const std::string& aAddress);
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
  std::optional<TlsCredentials> mTls;
  std::string mAddress;
  bool mIsStopped = false;
  std::set<std::shared_ptr<PeerLink>> mLinks;
  // By peer address: the link used for sending, and the time of the last connection failure.
  std::map<std::string, std::shared_ptr<PeerLink>> mSendLinks;
  std::map<std::string, Time> mConnectFailedAt;
  Time mNextCertificateCheck;
  Time mNextExpiryWarning;

  mutable std::mutex mMutex; // guards mStateMachine, mCounters and mOpenLinkCounters
  std::optional<PeerStateMachine> mStateMachine;
  PeeringCounters mCounters;         // totals of closed links, and the number of open links
  PeeringCounters mOpenLinkCounters; // bytes of open links as of the last check
};

} // namespace masticstep
