#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace masticstep::relay {

// How many daemons get a datagram.
struct Receivers
{
  std::size_t local = 0;  // of the own data centre
  std::size_t remote = 0; // of the other data centres, whose traffic is charged

  bool operator==(const Receivers&) const = default;
};

// Exchanges work reports with the other daemons of the data centre: which work each daemon has sent
// to which backend server. Daemons discover each other through the platform's store and send
// reports as UDP datagrams. A lost report is replaced by the next one.
class WorkReportChannel : public std::enable_shared_from_this<WorkReportChannel>
{
public:
  // Returns null if the UDP socket cannot be bound. The daemon then runs without work reports.
  static std::shared_ptr<WorkReportChannel> Create(std::shared_ptr<RelayState> aState,
                                                   std::shared_ptr<platform::ObjectStore> aStore,
                                                   HostName aHost, DataCentreName aDataCentre,
                                                   net::HostPort aAddress);

  net::Task<void> Receive();
  net::Task<void> SendReports();
  // Registers this daemon in the store and reads the entries of its peers periodically.
  net::Task<void> DiscoverPeers();

  // Sets the receiver of datagrams with crash reports. Must be called before Receive.
  void OnCrashReport(std::function<void(std::string_view)> aHandler)
  {
    mOnCrashReport = std::move(aHandler);
  }
  // The same for datagrams with origin reports.
  void OnOriginReport(std::function<void(std::string_view)> aHandler)
  {
    mOnOriginReport = std::move(aHandler);
  }
  // The same for freshness messages. The handler returns the datagram to answer with, or an empty
  // text.
  void OnFreshnessMessage(std::function<std::string(std::string_view)> aHandler)
  {
    mOnFreshnessMessage = std::move(aHandler);
  }
  // The same for datagrams with duty reports.
  void OnDutyReport(std::function<void(std::string_view)> aHandler)
  {
    mOnDutyReport = std::move(aHandler);
  }
  // Other store watchers of the data centre that this daemon has reports of.
  const std::vector<HostName>& StoreWatchers() const { return mStoreWatchers; }
  void SendToStoreWatchers(const std::string& aDatagram);
  // Sends a datagram to one daemon of the fleet, if its address is known.
  void SendToHost(const HostName& aHost, const std::string& aDatagram);
  // Sends a datagram to daemons that are chosen at random.
  void SendToFleet(const std::string& aDatagram, Receivers aReceivers, Random& aRandom);

private:
  using Udp = boost::asio::ip::udp;

  WorkReportChannel(std::shared_ptr<RelayState> aState,
                    std::shared_ptr<platform::ObjectStore> aStore, HostName aHost,
                    DataCentreName aDataCentre, net::HostPort aAddress, Udp::socket aSocket);
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);
  // Writes this daemon's entry unless it is up to date. Returns whether the store has it now.
  net::Task<bool> Register(const std::vector<platform::ObjectChange>& aEntries);
  void UpdatePeers(const std::vector<platform::ObjectChange>& aEntries);
  // Applies a peer's report. An unknown sender is added to the peers.
  void Apply(std::string_view aDatagram, const Udp::endpoint& aSender);
  // Decides whether this daemon is a store watcher of its data centre, or the store poller.
  void AssignStoreRoles(Time aNow);
  // Returns whether this daemon cannot do what is expected of the store poller.
  bool NeedsStandby(Time aNow) const;
  void SendToSome(const std::string& aDatagram, std::vector<Udp::endpoint> aPeers,
                  std::size_t aCount, Random& aRandom);
  void Broadcast(const std::string& aDatagram);
  // Sends the datagram, if it is not empty. One that is lost is replaced by a later one.
  void SendTo(const Udp::endpoint& aReceiver, const std::string& aDatagram);
  std::string OwnEntry() const;

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const HostName mHost;
  const DataCentreName mDataCentre;
  const net::HostPort mAddress;
  Udp::socket mSocket;
  std::vector<Udp::endpoint> mPeers;                 // of the data centre
  std::vector<Udp::endpoint> mRemotePeers;           // of the other data centres
  std::map<HostName, Udp::endpoint> mEndpoints;      // of peers that have sent reports
  std::map<HostName, Udp::endpoint> mFleetEndpoints; // of all data centres, from the store
  std::vector<HostName> mStoreWatchers;
  // By their latest reports.
  std::set<HostName> mPeersInNeed; // of a standby
  std::set<HostName> mPeersWithoutStore;
  std::function<void(std::string_view)> mOnCrashReport = [](std::string_view /*aDatagram*/) {};
  std::function<void(std::string_view)> mOnOriginReport = [](std::string_view /*aDatagram*/) {};
  std::function<void(std::string_view)> mOnDutyReport = [](std::string_view /*aDatagram*/) {};
  std::function<std::string(std::string_view)> mOnFreshnessMessage =
    [](std::string_view /*aDatagram*/) { return std::string(); };
  Random mRandom;
  bool mIsRegistered = false;
  bool mRediscovers = false; // the entries of the store are out of date
  std::uint64_t mNextCall = 1;
};

} // namespace masticstep::relay
