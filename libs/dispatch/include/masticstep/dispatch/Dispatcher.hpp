#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/dispatch/BackendLoad.hpp"
#include "masticstep/dispatch/CircuitBreaker.hpp"
#include "masticstep/dispatch/DaemonFleet.hpp"
#include "masticstep/dispatch/PeerWork.hpp"
#include "masticstep/dispatch/PrefixCache.hpp"
#include "masticstep/dispatch/RequestLimit.hpp"
#include "masticstep/dispatch/RouteTable.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace masticstep::dispatch {

// Location of this daemon.
struct Locality
{
  DataCentreName dataCentre;
  RegionName region;

  bool operator==(const Locality&) const = default;
};

using BackendNames = std::vector<BackendServerName>;

// Input for the choice of an engine.
struct PromptRequest
{
  ServiceName service;
  Prompt prompt;
  std::vector<std::uint64_t> keys; // PrefixKeys(prompt)
  BackendNames excluded;           // engines on which this request has already failed
  // Version at which the answer began: engines of other versions cannot go on with it.
  std::optional<SoftwareVersion> version;
  // Engines that refused the request as not run, and until when it is not sent to them again.
  std::map<BackendServerName, Time> refusedUntil;

  // Returns the engines that must not get the request now.
  BackendNames ExcludedAt(Time aNow) const;
};

// Engine chosen to prefill a prompt, with the expected times.
struct PrefillPlacement
{
  Backend engine;
  Duration wait{ 0 };        // until work sent earlier is done
  Duration prefillTime{ 0 }; // for tokens that are not cached
};

// Outcome of an attempt, as evidence about the backend server.
enum class Outcome : std::uint8_t
{
  Answered,    // complete response
  Abandoned,   // the answer is no longer needed; no evidence about the server
  Refused,     // rejected, for example because the server is full
  Failed,      // error, or no response in time
  Unreachable, // connection failed
};

// Selects backend servers and tracks their estimated state. Performs no I/O. Not thread-safe. Times
// passed in must not decrease.
class Dispatcher
{
public:
  Dispatcher(Locality aLocality, std::uint64_t aSeed);

  void SetTable(std::shared_ptr<const RouteTable> aTable);
  // Replaces the set of backend servers, keeping the state of those that remain.
  void SetBackends(const std::map<BackendServerName, Backend>& aBackends);

  // Chooses the engine that prefills a prompt. Falls back to engines for decoding if no other
  // engine is available.
  std::optional<PrefillPlacement> ChoosePrefillEngine(const PromptRequest& aRequest, Time aNow);
  // Chooses an engine for decoding that prefills the prompt itself, more slowly.
  std::optional<PrefillPlacement> ChooseDecodeEngineForPrefill(const PromptRequest& aRequest,
                                                               Time aNow);
  // Expected prefill time on an engine with no part of the prompt cached.
  Duration ExpectedPrefillTime(const PromptRequest& aRequest) const;
  // Number of engines that may read a prompt: those for prefill, or all if there are none or the
  // service has several software versions.
  std::size_t PrefillEngineCount(const PromptRequest& aRequest) const;
  // Returns whether the request is bound to a software version of which no engine can write the
  // answer now, but one may soon: all are for prefill, and the stage plan makes one of them decode,
  // which takes seconds; or one for decoding refused the request and may be asked again.
  bool AwaitsWriter(const PromptRequest& aRequest, Time aNow) const;
  // Other daemons of the data centre with a recent report.
  std::vector<HostName> ActivePeers(Time aNow) const { return mPeers.ActiveHosts(aNow); }
  // Chooses the engine that decodes the answer. aSource holds the KV cache of the prompt, which
  // only engines of the same software version can use; if it is null, the chosen engine prefills
  // the prompt itself.
  std::optional<Backend> ChooseDecodeEngine(const PromptRequest& aRequest, const Backend* aSource,
                                            Time aNow);
  // Chooses a backend server of a plain service.
  std::optional<Backend> ChooseServer(const ServiceName& aService, const BackendNames& aExcluded,
                                      Time aNow);

  // aPrefillTime is the expected prefill time, aTokens the prompt tokens kept in the KV cache while
  // decoding.
  void OnSent(const BackendServerName& aBackend, RequestId aId, Duration aPrefillTime,
              std::uint32_t aTokens, Time aNow);
  void OnDone(const BackendServerName& aBackend, RequestId aId, Outcome aOutcome, Time aNow);
  void OnSample(const BackendServerName& aBackend, const LoadSample& aSample, Time aNow);
  // Records whether an answer named a limit, in requests per second of all daemons.
  void OnRequestLimit(const BackendServerName& aBackend, std::optional<double> aPerSecond,
                      Time aNow);
  // Records that a backend server wants no requests for a time.
  void OnPause(const BackendServerName& aBackend, Duration aLength, Time aNow);
  // Returns when callers should come back if all backend servers of the service want no requests:
  // after the first one takes some, spread so that not all callers come at once.
  std::optional<Duration> RetryAfter(const ServiceName& aService, Time aNow);
  // Sets the daemons that share the limits of backend servers.
  void SetFleet(HostName aOwn, std::vector<HostName> aAll);
  // Records a completed prefill; aElapsed is the time from sending to the response.
  void OnPrefillDone(const BackendServerName& aBackend, const PromptRequest& aRequest,
                     const PrefillPlacement& aPlacement, Duration aElapsed, Time aNow);

  // Records whether another engine fetched the KV cache of a prompt from its prefill engine.
  void OnKvTransfer(const BackendServerName& aPrefillEngine, bool aSucceeded, Time aNow);

  // Outstanding work of this daemon, to be reported to its peers in the data centre.
  WorkByBackend LocalWork(Time aNow) const;
  // Records a peer's report of its outstanding work.
  void OnPeerWork(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork, Time aNow);

private:
  struct BackendState
  {
    explicit BackendState(Backend aBackend, std::uint64_t aKvCapacityTokens);

    Backend backend;
    BackendLoad load;
    CircuitBreaker breaker;
    CircuitBreaker kvTransferBreaker; // for transfers of the KV cache out of the engine
    PrefixCache cache;
    RequestLimit limit;
    Time pausedUntil{}; // the server wants no requests before
    double prefillSecondsPerToken;
  };

  // Estimated outstanding work of all daemons at a backend server.
  OutstandingWork WorkAt(const BackendState& aState, Time aNow) const;
  // Backend servers of the service that may receive new work. If all breakers are open, returns
  // every server that wants requests and whose request limit allows it: trying one is better than
  // refusing the request.
  std::vector<const BackendState*> Candidates(const ServiceName& aService,
                                              const BackendNames& aExcluded,
                                              const std::optional<SoftwareVersion>& aVersion,
                                              bool (*aSupportsStage)(Stage), Time aNow) const;
  // Returns whether engines of several software versions are registered for the service.
  bool HasSeveralVersions(const ServiceName& aService) const;
  // Removes prefill engines at whose software version no engine could write the answer.
  void RemoveUnpaired(std::vector<const BackendState*>& aCandidates, const PromptRequest& aRequest,
                      Time aNow) const;
  double LocalityPenaltySeconds(const Backend& aBackend) const;
  std::optional<PrefillPlacement> BestPrefillEngine(const PromptRequest& aRequest,
                                                    bool (*aSupportsStage)(Stage), Time aNow);
  double PrefillCost(const BackendState& aState, const PromptRequest& aRequest, Time aNow,
                     PrefillPlacement& aPlacement) const;
  double TransferSeconds(const Backend& aSource, const Backend& aTarget,
                         const PromptRequest& aRequest) const;
  std::uint64_t KvCapacityTokens(const ServiceName& aService) const;
  BackendState* FindState(const BackendServerName& aBackend);

  Locality mLocality;
  Random mRandom;
  std::shared_ptr<const RouteTable> mTable;
  std::map<BackendServerName, BackendState> mBackendStates;
  std::map<ServiceName, std::set<SoftwareVersion>> mVersions; // registered
  PeerWork mPeers;
  DaemonFleet mFleet;
  // Shortest observed time of a prefill by data centre: nearly all of it is the network round trip.
  std::map<DataCentreName, Duration> mNetworkLatency;
  double mMeanPrefillSecondsPerToken; // average over all engines
};

} // namespace masticstep::dispatch
