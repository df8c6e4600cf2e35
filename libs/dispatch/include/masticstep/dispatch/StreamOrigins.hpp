#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Backend.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticstep::dispatch {

// Streams that began at one software version of a service.
struct StreamGroup
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<std::uint64_t> streams; // see StreamOrigins::StreamId

  bool operator==(const StreamGroup&) const = default;
};

// A software version that is in service, or was lately.
struct ServiceVersion
{
  ServiceName service;
  SoftwareVersion version;
  Duration idle{ 0 }; // since it left the service; 0 while it is in service

  bool operator==(const ServiceVersion&) const = default;
};

enum class OriginKind : std::uint8_t
{
  Known,       // there is a record of the stream
  Unambiguous, // all streams that may still be resumed began at the same version
  Unknown      // streams may have begun at several versions, and there is no record of this one
};

struct StreamOrigin
{
  OriginKind kind = OriginKind::Unknown;
  SoftwareVersion version; // unless the origin is unknown

  bool operator==(const StreamOrigin&) const = default;
};

// Knows at which software version the streams of each service began, since a stream may only be
// resumed there.
//
// Records are handed out to others and to the store also while a service has one version: a daemon
// that is lost before the others know of a second version could not hand out its records any more.
//
// Performs no I/O. Not thread-safe. Times passed in must not decrease.
class StreamOrigins
{
public:
  // Longest time from the first event of a stream until a caller resumes it.
  static constexpr Duration kStreamLifetime = Seconds(30);
  // Daemons see that a version has left at different times, so it counts for longer than the life
  // of a stream.
  static constexpr Duration kRecordMargin = Seconds(5);
  // Of each service. A store poller of 74 daemons with 980 streams a second keeps about 30,000.
  static constexpr std::size_t kMaximumStreams = 65536;
  // How often each record is handed out for other daemons, since datagrams may be lost.
  static constexpr std::uint32_t kTimesSent = 2;

  // Identifies a stream by the attempt of the caller's request that brought its first event.
  static std::uint64_t StreamId(std::string_view aAttemptId);

  // Sets the versions in service to those of the backend servers.
  void OnBackends(const std::map<BackendServerName, Backend>& aBackends, Time aNow);
  // Records a stream of this daemon whose first event is about to be sent to the caller.
  void OnBegan(std::string_view aAttemptId, const ServiceName& aService,
               const SoftwareVersion& aVersion, Time aNow);
  // Adds records of another daemon.
  void Merge(const std::vector<StreamGroup>& aGroups, Time aNow);
  // Adds what was in service before this daemon started, as others have stored it. Once the history
  // is complete, only versions that this daemon has not seen are added.
  void OnHistoryRead(const std::vector<ServiceVersion>& aVersions, Time aNow);

  StreamOrigin Find(std::string_view aAttemptId, const ServiceName& aService, Time aNow) const;
  // Returns whether streams of a service may have begun at different versions.
  bool HasSeveralVersions(Time aNow) const;
  // Returns whether it is known what was in service during the longest life of a stream.
  bool IsHistoryComplete(Time aNow) const;

  // Returns up to aMaximum records for other daemons, each kTimesSent times.
  std::vector<StreamGroup> TakeUnsent(std::size_t aMaximum, Time aNow);
  // Lets TakeUnsent return all records of this daemon again, for example for new receivers.
  void SendAgain(Time aNow);
  // Returns up to aMaximum records of any daemon for the store, each once.
  std::vector<StreamGroup> TakeUnstored(std::size_t aMaximum, Time aNow);
  // Versions that are in service or have been within the longest life of a stream.
  std::vector<ServiceVersion> Versions(Time aNow) const;
  std::size_t StreamCount() const { return mStreamCount; }

private:
  struct VersionState
  {
    bool isInService = false;
    Time lastSeen{}; // unless it is in service
  };
  struct Record
  {
    SoftwareVersion version;
    Time learnedAt{};
    bool isOwn = false;
  };
  struct Unsent
  {
    std::uint64_t stream = 0;
    std::uint32_t times = 0;
  };
  // What is known about one service. The deques name streams in the order of their records.
  struct Service
  {
    std::map<SoftwareVersion, VersionState> versions;
    std::unordered_map<std::uint64_t, Record> records;
    std::deque<std::uint64_t> order;
    std::deque<Unsent> unsent;
    std::deque<std::uint64_t> unstored;
  };

  static std::size_t CountVersions(const Service& aService, Duration aTime, Time aNow);
  static void Drop(Service& aService);
  void Add(Service& aService, std::uint64_t aStream, const Record& aRecord);
  void Expire(Time aNow);

  std::map<ServiceName, Service> mServices;
  std::size_t mStreamCount = 0;
  Time mStartedAt{}; // first list of backend servers
  bool mIsStarted = false;
  bool mIsHistoryRead = false;
};

} // namespace masticstep::dispatch
