#pragma once

#include "masticstep/net/HostPort.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <boost/asio/ip/udp.hpp>

#include <memory>
#include <vector>

namespace masticstep::relay {

// Tells the other daemons of the data centre which work this daemon has sent to which backend
// server. The daemons find each other in the platform's store and talk by datagrams; a lost one is
// replaced by the next.
class WorkReportChannel : public std::enable_shared_from_this<WorkReportChannel>
{
public:
  // Without a usable port the daemon goes on without the others' reports.
  static std::shared_ptr<WorkReportChannel> Create(std::shared_ptr<RelayState> aState,
                                                   std::shared_ptr<platform::ObjectStore> aStore,
                                                   HostName aHost, DataCentreName aDataCentre,
                                                   net::HostPort aAddress);

  net::Task<void> Receive();
  net::Task<void> SendReports();
  // Enters this daemon in the store and reads the entries of the others, from time to time.
  net::Task<void> DiscoverPeers();

private:
  using Udp = boost::asio::ip::udp;

  WorkReportChannel(std::shared_ptr<RelayState> aState,
                    std::shared_ptr<platform::ObjectStore> aStore, HostName aHost,
                    DataCentreName aDataCentre, net::HostPort aAddress, Udp::socket aSocket);
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  // Writes this daemon's entry unless it is there; returns whether it is there now.
  net::Task<bool> Register(const std::vector<platform::ObjectChange>& aEntries);
  void UpdatePeers(const std::vector<platform::ObjectChange>& aEntries);
  // Takes a report of another daemon, which may not have been listed yet.
  void Apply(std::string_view aDatagram, const Udp::endpoint& aSender);
  // Decides whether this daemon is the sentinel of its data centre.
  void ElectStorePoller(Time aNow);
  void Broadcast(const std::string& aDatagram);
  std::string OwnEntry() const;

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const HostName mHost;
  const DataCentreName mDataCentre;
  const net::HostPort mAddress;
  Udp::socket mSocket;
  std::vector<Udp::endpoint> mPeers;
  bool mIsRegistered = false;
  std::uint64_t mNextCall = 1;
};

} // namespace masticstep::relay
