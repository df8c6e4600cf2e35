#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/dispatch/BackendLoad.hpp"
#include "masticstep/dispatch/CircuitBreaker.hpp"
#include "masticstep/dispatch/PeerWork.hpp"
#include "masticstep/dispatch/PrefixCache.hpp"
#include "masticstep/dispatch/RouteTable.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// Where this daemon runs.
struct Locality
{
  DataCentreName dataCentre;
  RegionName region;

  bool operator==(const Locality&) const = default;
};

using BackendNames = std::vector<BackendServerName>;

// What a choice needs to know of a prompt.
struct PromptRequest
{
  ServiceName service;
  Prompt prompt;
  std::vector<std::uint64_t> keys; // PrefixKeys(prompt)
  BackendNames excluded;           // engines that already failed this request
};

// Engine chosen to read a prompt.
struct PrefillPlacement
{
  Backend engine;
  Duration wait{ 0 };        // behind work sent before
  Duration prefillTime{ 0 }; // of the tokens that are not cached
};

// How an attempt ended, as far as it tells something about the backend server.
enum class Outcome : std::uint8_t
{
  Answered,    // a whole answer
  Abandoned,   // nobody wanted the answer any more; says nothing
  Refused,     // full or otherwise not willing
  Failed,      // broken or silent
  Unreachable, // no connection
};

// Chooses backend servers and keeps what is believed of them. No I/O; not thread-safe; times must
// not go back.
class Dispatcher
{
public:
  Dispatcher(Locality aLocality, std::uint64_t aSeed);

  void SetTable(std::shared_ptr<const RouteTable> aTable);
  // Replaces the backend servers and keeps what is known of those that stay.
  void SetBackends(const std::map<BackendServerName, Backend>& aBackends);

  // Chooses the engine that reads a prompt: one for prompts, or if there is none one for answers.
  std::optional<PrefillPlacement> ChoosePrefillEngine(const PromptRequest& aRequest, Time aNow);
  // Time that an engine which holds nothing of the prompt would read it.
  Duration ExpectedPrefillTime(const PromptRequest& aRequest) const;
  // Engines of a service that read prompts.
  std::size_t PrefillEngineCount(const ServiceName& aService) const;
  // Other daemons of the data centre that were heard lately.
  std::vector<HostName> ActivePeers(Time aNow) const { return mPeers.ActiveHosts(aNow); }
  // Chooses the engine that writes the answer to a prompt. aSource holds the prompt's memory; the
  // engine reads the prompt itself if there is none.
  std::optional<Backend> ChooseDecodeEngine(const PromptRequest& aRequest, const Backend* aSource,
                                            Time aNow);
  // Chooses a server of a plain service.
  std::optional<Backend> ChooseServer(const ServiceName& aService, const BackendNames& aExcluded,
                                      Time aNow);

  // aPrefillTime is the time for reading the prompt, aTokens what an answer keeps in memory of it.
  void OnSent(const BackendServerName& aBackend, RequestId aId, Duration aPrefillTime,
              std::uint32_t aTokens, Time aNow);
  void OnDone(const BackendServerName& aBackend, RequestId aId, Outcome aOutcome, Time aNow);
  void OnSample(const BackendServerName& aBackend, const LoadSample& aSample, Time aNow);
  // The engine has read the prompt; aElapsed is the time from sending to the answer.
  void OnPrefillDone(const BackendServerName& aBackend, const PromptRequest& aRequest,
                     const PrefillPlacement& aPlacement, Duration aElapsed, Time aNow);

  // Another engine took the memory of a prompt over from its reader, or could not get it.
  void OnKvTransfer(const BackendServerName& aPrefillEngine, bool aDone, Time aNow);

  // OutstandingWork of this daemon, for the others of its data centre.
  WorkByBackend LocalWork(Time aNow) const;
  // OutstandingWork of another daemon.
  void OnPeerWork(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork, Time aNow);

private:
  struct BackendState
  {
    explicit BackendState(Backend aBackend, std::uint64_t aKvCapacityTokens);

    Backend backend;
    BackendLoad load;
    CircuitBreaker breaker;
    CircuitBreaker kvTransferBreaker; // of memory that the engine has read
    PrefixCache cache;
    double prefillSecondsPerToken;
  };

  // OutstandingWork of all daemons at a backend server, as far as it is known.
  OutstandingWork WorkAt(const BackendState& aState, Time aNow) const;
  // Backend servers of the service that may get new work. If the breakers of all are open, trying
  // one is better than refusing.
  std::vector<const BackendState*> Candidates(const ServiceName& aService,
                                              const BackendNames& aExcluded,
                                              bool (*aSupportsStage)(Stage), Time aNow) const;
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
  PeerWork mPeers;
  double mMeanPrefillSecondsPerToken; // of all engines
};

} // namespace masticstep::dispatch
