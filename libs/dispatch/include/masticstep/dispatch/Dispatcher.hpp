#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/dispatch/Backend.hpp"
#include "masticstep/dispatch/BackendLoad.hpp"
#include "masticstep/dispatch/Breaker.hpp"
#include "masticstep/dispatch/PeerWork.hpp"
#include "masticstep/dispatch/PrefixCache.hpp"
#include "masticstep/dispatch/RouteTable.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// Where this daemon runs.
struct Place
{
  DataCentreName dataCentre;
  RegionName region;

  bool operator==(const Place&) const = default;
};

using BackendNames = std::vector<BackendServerName>;

// What a choice needs to know of a prompt.
struct PromptWork
{
  ServiceName service;
  Prompt prompt;
  std::vector<std::uint64_t> keys; // PrefixKeys(prompt)
  BackendNames excluded;           // engines that already failed this request
};

// Engine chosen to read a prompt.
struct PromptPlacement
{
  Backend engine;
  Duration wait{ 0 }; // behind work sent before
  Duration read{ 0 }; // of the tokens that are not cached
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
  Dispatcher(Place aPlace, std::uint64_t aSeed);

  void SetTable(std::shared_ptr<const RouteTable> aTable);
  // Replaces the backend servers and keeps what is known of those that stay.
  void SetBackends(const std::map<BackendServerName, Backend>& aBackends);

  // Chooses the engine that reads a prompt: one for prompts, or if there is none one for answers.
  std::optional<PromptPlacement> PlacePrompt(const PromptWork& aWork, Time aNow);
  // Time that an engine which holds nothing of the prompt would read it.
  Duration ExpectedRead(const PromptWork& aWork) const;
  // Engines of a service that read prompts.
  std::size_t ReaderCount(const ServiceName& aService) const;
  // Other daemons of the data centre that were heard lately.
  std::vector<HostName> Peers(Time aNow) const { return mPeers.Hosts(aNow); }
  // Chooses the engine that writes the answer to a prompt. aSource holds the prompt's memory; the
  // engine reads the prompt itself if there is none.
  std::optional<Backend> PlaceAnswer(const PromptWork& aWork, const Backend* aSource, Time aNow);
  // Chooses a server of a plain service.
  std::optional<Backend> PlaceCall(const ServiceName& aService, const BackendNames& aExcluded,
                                   Time aNow);

  // aRead is the time for reading the prompt, aTokens what an answer keeps in memory of it.
  void OnSent(const BackendServerName& aBackend, RequestId aId, Duration aRead,
              std::uint32_t aTokens, Time aNow);
  void OnDone(const BackendServerName& aBackend, RequestId aId, Outcome aOutcome, Time aNow);
  void OnSample(const BackendServerName& aBackend, const LoadSample& aSample, Time aNow);
  // The engine has read the prompt; aTook is the time from sending to the answer.
  void OnPromptRead(const BackendServerName& aBackend, const PromptWork& aWork,
                    const PromptPlacement& aPlacement, Duration aTook, Time aNow);

  // Another engine took the memory of a prompt over from its reader, or could not get it.
  void OnHandover(const BackendServerName& aReader, bool aDone, Time aNow);

  // Work of this daemon, for the others of its data centre.
  WorkByBackend OwnWork(Time aNow) const;
  // Work of another daemon.
  void OnPeerWork(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork, Time aNow);

private:
  struct Belief
  {
    explicit Belief(Backend aBackend, std::uint64_t aCacheTokens);

    Backend backend;
    BackendLoad load;
    Breaker breaker;
    Breaker handover; // of memory that the engine has read
    PrefixCache cache;
    double readSecondsPerToken;
  };

  // Work of all daemons at a backend server, as far as it is known.
  Work WorkAt(const Belief& aBelief, Time aNow) const;
  // Backend servers of the service that may get new work. If the breakers of all are open, trying
  // one is better than refusing.
  std::vector<const Belief*> Candidates(const ServiceName& aService, const BackendNames& aExcluded,
                                        bool (*aIsSuited)(Stage), Time aNow) const;
  double DistanceSeconds(const Backend& aBackend) const;
  std::optional<PromptPlacement> BestReader(const PromptWork& aWork, bool (*aIsSuited)(Stage),
                                            Time aNow);
  double ReadCost(const Belief& aBelief, const PromptWork& aWork, Time aNow,
                  PromptPlacement& aPlacement) const;
  double TransferSeconds(const Backend& aSource, const Backend& aTarget,
                         const PromptWork& aWork) const;
  std::uint64_t CacheTokens(const ServiceName& aService) const;
  Belief* Find(const BackendServerName& aBackend);

  Place mPlace;
  Random mRandom;
  std::shared_ptr<const RouteTable> mTable;
  std::map<BackendServerName, Belief> mBeliefs;
  PeerWork mPeers;
  double mReadSecondsPerToken; // of all engines
};

} // namespace masticstep::dispatch
