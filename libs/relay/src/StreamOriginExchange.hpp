#pragma once

#include "OriginSlots.hpp"
#include "StoredOrigins.hpp"
#include "UnchangedObjects.hpp"
#include "WorkReportChannel.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::relay {

// Makes known to all daemons at which software version streams began (see dispatch::StreamOrigins).
// Daemons send records to the store watchers of their data centre, whose store poller writes them
// into the platform's store. Only the store knows them after all daemons were killed.
//
// Each process writes objects of its own, so that no write depends on another daemon. Objects that
// have not changed for some time belong to a process that is gone, or to streams that have ended,
// and are deleted by any store poller.
class StreamOriginExchange : public std::enable_shared_from_this<StreamOriginExchange>
{
public:
  StreamOriginExchange(std::shared_ptr<RelayState> aState,
                       std::shared_ptr<WorkReportChannel> aChannel,
                       std::shared_ptr<platform::ObjectStore> aStore,
                       const DataCentreName& aDataCentre, std::uint64_t aSeed);

  // Sends the records of this daemon to the store watchers.
  net::Task<void> SendRecords();
  // Reads at the start what was in service before, and then, as store poller, keeps the records and
  // the versions in the store.
  net::Task<void> SyncWithStore();
  // Applies a peer's datagram.
  void Apply(std::string_view aDatagram);

  // Returns the version at which the stream began, or nullopt if no daemon has told it, at the
  // latest about aUntil. The stream is named by the attempt that brought its first event.
  net::Task<std::optional<SoftwareVersion>> FindOrigin(std::string aAttemptId, ServiceName aService,
                                                       Time aUntil);

private:
  // An object that this process writes.
  struct OwnObject
  {
    platform::ObjectKey key;
    std::optional<platform::Version> version; // absent if the object does not exist
    bool isUncertain = false;                 // the store may have another version
  };

  Duration SendInterval(Time aNow) const; // between datagrams with new records
  // Returns the version if it can be told without the store.
  std::optional<SoftwareVersion> FindKnown(const std::string& aAttemptId,
                                           const ServiceName& aService) const;
  // Returns the version by the records and the history of this daemon alone.
  std::optional<SoftwareVersion> FindOwn(const std::string& aAttemptId,
                                         const ServiceName& aService) const;
  net::Task<std::optional<SoftwareVersion>> FindInStore(std::string aAttemptId,
                                                        ServiceName aService, Time aUntil);
  // Returns whether no other daemon is known to have seen later entries of backend servers.
  bool IsDirectoryCurrent() const;
  // Reads all objects unless that is under way.
  void StartReading();
  net::Task<void> ReadAll();
  void OnListed(const std::vector<platform::ObjectChange>& aObjects, Time aNow);
  net::Task<void> Store();
  net::Task<void> StoreVersions();
  net::Task<void> StoreRecords();
  net::Task<bool> Write(OwnObject& aObject, std::string aBody);
  net::Task<void> DeleteUnchanged();
  net::Task<platform::PlatformReply> Call(platform::PlatformCall aCall);

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<WorkReportChannel> mChannel; // null without a socket
  const std::shared_ptr<platform::ObjectStore> mStore;
  const std::string mDataCentrePrefix; // of the keys of all daemons of the data centre
  const std::uint64_t mSeed;
  const Time mElectionEnd;

  OriginSlots mSlots;
  std::array<OwnObject, OriginSlots::kSlots> mSlotObjects;
  OwnObject mVersionsObject;
  std::vector<dispatch::ServiceVersion> mStoredVersions;
  Time mVersionsStoredAt{};
  Time mRecordsStoredAt{};     // latest try
  std::uint64_t mSequence = 0; // of the objects that this process has written
  std::uint64_t mStoredEra = 0;

  std::vector<dispatch::StreamGroup> mListedGroups; // as read last
  UnchangedObjects mUnchangedObjects;
  Time mListedAt{}; // begin of the latest read that succeeded
  Time mReadFailedAt{};
  bool mIsReading = false;
  std::uint64_t mNextCall = 1;
};

// Returns the version at which a stream began, from the daemon's exchange if it has one.
net::Task<std::optional<SoftwareVersion>> FindStreamOrigin(RelayState& aState,
                                                           std::string aAttemptId,
                                                           ServiceName aService, Time aUntil);

} // namespace masticstep::relay
