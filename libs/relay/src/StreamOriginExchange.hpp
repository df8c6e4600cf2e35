#pragma once

#include "OriginSlots.hpp"
#include "StoredOrigins.hpp"
#include "UnchangedObjects.hpp"
#include "WorkReportChannel.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::relay {

// What told the version at which a stream began, or why it is unknown.
enum class OriginSource : std::uint8_t
{
  Memory,      // a record of this daemon or of a peer
  Store,       // a record in the store
  OnlyVersion, // no record, and the store names no other version
  NoRecord,    // no record, and several versions may have begun the stream
  StoreNotRead // no record in memory, and the store did not answer in time
};

// The service and software version at which a stream began.
struct StreamStart
{
  ServiceName service;
  SoftwareVersion version;

  bool operator==(const StreamStart&) const = default;
};

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
  // Reads all entries of backend servers anew. Returns false if the store does not answer.
  using BackendReader = std::function<net::Task<bool>()>;

  StreamOriginExchange(std::shared_ptr<RelayState> aState,
                       std::shared_ptr<WorkReportChannel> aChannel,
                       std::shared_ptr<platform::ObjectStore> aStore,
                       const DataCentreName& aDataCentre, std::uint64_t aSeed,
                       BackendReader aReadBackends);

  // Sends the records of this daemon to the store watchers.
  net::Task<void> SendRecords();
  // Reads at the start what was in service before, and then, as store poller, keeps the records and
  // the versions in the store.
  net::Task<void> SyncWithStore();
  // Applies a peer's datagram.
  void Apply(std::string_view aDatagram);

  // Returns at which of the services and at which version the stream began, or nullopt if it is not
  // certain, at the latest about aUntil. Without a record only a read of the store that begins now
  // makes it certain: a daemon without contact to the store may not know of a version that joined.
  // Then the stream is taken to have begun at the first service. The stream is named by the attempt
  // that brought its first event.
  net::Task<std::optional<StreamStart>> FindStart(std::string aAttemptId,
                                                  std::vector<ServiceName> aServices, Time aUntil);

private:
  struct FoundOrigin
  {
    std::optional<StreamStart> start;
    OriginSource source = OriginSource::NoRecord;
  };
  // A read of the store that lookups share.
  struct SharedRead
  {
    BackendReader read;
    Time succeededAt{}; // begin of the latest read that succeeded
    Time failedAt{};    // begin of the latest read that failed
    Time mayReadAt{};   // after a failure
    bool isReading = false;
  };
  // Records as read last from the store.
  struct Listing
  {
    std::string prefix; // of the keys
    std::vector<dispatch::StreamGroup> groups{};
  };
  // An object that this process writes.
  struct OwnObject
  {
    platform::ObjectKey key;
    std::optional<platform::Version> version; // absent if the object does not exist
    bool isUncertain = false;                 // the store may have another version
  };

  Duration SendInterval(Time aNow) const; // between datagrams with new records
  // Returns the start of which there is a record in memory or among the objects read last.
  std::optional<StreamStart> FindRecord(const std::string& aAttemptId,
                                        const std::vector<ServiceName>& aServices) const;
  std::optional<StreamStart> FindListed(std::uint64_t aStream,
                                        const std::vector<ServiceName>& aServices) const;
  // Reads the store anew: what this daemon knows of the versions in service may be older than the
  // stream.
  net::Task<FoundOrigin> FindInStore(std::string aAttemptId, std::vector<ServiceName> aServices,
                                     Time aUntil);
  // Reads the objects at aAt and returns the start of which there is a record then.
  net::Task<std::optional<StreamStart>> ReadRecord(SharedRead& aRead, std::string aAttemptId,
                                                   std::vector<ServiceName> aServices, Time aAt,
                                                   Time aUntil);
  // Waits for a read that began at aSince or later. Returns false if it failed or aUntil has come.
  net::Task<bool> AwaitRead(SharedRead& aRead, Time aSince, Time aUntil);
  // Starts a read unless one is under way, or has failed just now.
  void StartReading(SharedRead& aRead);
  net::Task<void> Read(SharedRead& aRead);
  net::Task<bool> List(Listing& aListing);
  void OnListed(Listing& aListing, const std::vector<platform::ObjectChange>& aObjects, Time aNow);
  net::Task<void> Store();
  net::Task<void> StoreVersions();
  net::Task<void> StoreRecords();
  void OnRecordsWritten(bool aIsWritten);
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
  Time mRecordsStoredAt{}; // latest try
  bool mAreRecordsStored = true;
  std::uint64_t mSequence = 0; // of the objects that this process has written
  std::uint64_t mStoredEra = 0;

  Listing mOwnListing;  // objects of the own data centre
  Listing mFullListing; // all objects
  SharedRead mOwnRead;
  SharedRead mFullRead;
  SharedRead mBackendRead;
  UnchangedObjects mUnchangedObjects;
  std::uint64_t mNextCall = 1;
};

// Returns at which of the services and at which version a stream began, from the daemon's exchange
// if it has one. See StreamOriginExchange::FindStart.
net::Task<std::optional<StreamStart>> FindStreamStart(RelayState& aState, std::string aAttemptId,
                                                      std::vector<ServiceName> aServices,
                                                      Time aUntil);

} // namespace masticstep::relay
