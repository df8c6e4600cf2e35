#pragma once

#include "WorkReportChannel.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <map>
#include <memory>
#include <string>

namespace masticstep::relay {

// Shares the evidence about crashed engines with the daemons of all data centres, as datagrams
// that each of them passes on, and keeps the quarantined prompt parts in the platform's store, so
// that daemons know them after a restart.
class QuarantineExchange : public std::enable_shared_from_this<QuarantineExchange>
{
public:
  QuarantineExchange(std::shared_ptr<RelayState> aState,
                     std::shared_ptr<WorkReportChannel> aChannel,
                     std::shared_ptr<platform::ObjectStore> aStore, std::uint64_t aSeed);

  // Sends new evidence to some peers, and all evidence to one of them now and then.
  net::Task<void> SendEvidence();
  // Reads the quarantined parts at the start and then keeps those in the store that this daemon
  // knows, also in one that was restored from an older copy.
  net::Task<void> SyncWithStore();
  // Applies a peer's datagram.
  void Apply(std::string_view aDatagram);

private:
  void LogChanges(Time aNow);
  void Send(const quarantine::Evidence& aEvidence, Receivers aReceivers, Time aNow);
  // Reads the entries of the store. Returns false if that failed.
  net::Task<bool> ReadEntries();
  // Puts the parts of the entries that were read into quarantine.
  void QuarantineEntries();
  // Writes or removes one entry if the store differs from what this daemon knows.
  net::Task<void> Store(Time aNow);

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<WorkReportChannel> mChannel; // null without a socket
  const std::shared_ptr<platform::ObjectStore> mStore;
  Random mRandom;
  std::map<std::uint64_t, platform::Version> mStored; // version of the entry by part
  std::vector<quarantine::QuarantinedPart> mRead;     // parts of the entries that were read
  std::uint64_t mStoredEra = 0;                       // of the store, in which they were read
  std::vector<quarantine::QuarantinedPart> mLogged;
  std::uint64_t mNextCall = 1;
};

} // namespace masticstep::relay
