#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/RouteTable.hpp"

#include <map>
#include <optional>

namespace masticstep::dispatch {

// Engine time that the recent requests of a service needed, in seconds of one whole engine. The
// sums decay exponentially, so that they describe the last seconds.
struct StageNeed
{
  double prefillSeconds = 0.0;
  double slotSeconds = 0.0;     // of decoding: time in one of the engine's slots, with headroom
  double kvCacheSeconds = 0.0;  // of decoding: share of the KV cache that was occupied
  double transferSeconds = 0.0; // of decoding: time of KV cache transfers on the engine's link

  // An engine is full when the first of its resources is.
  double DecodeSeconds() const;
  StageNeed Scaled(double aFactor) const;
  StageNeed& operator+=(const StageNeed& aOther);
  bool operator==(const StageNeed&) const = default;
};

using NeedByService = std::map<ServiceName, StageNeed>;

// A prompt that is sent to an engine for the first time.
struct StartedPrompt
{
  Duration prefillTime{ 0 }; // for tokens that are not cached
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumOutput = 0; // in tokens

  bool operator==(const StartedPrompt&) const = default;
};

// Measures how the work for a service divides between prefill and decoding, based on the requests
// of this daemon and on the reports of its peers. One daemon among hundreds sees too few requests
// to plan for all. Both stages are counted when a request starts: counted at its end, a stage that
// fails most requests would seem to need fewer engines.
class StageDemand
{
public:
  // Records a request. The decoding time is predicted from earlier answers.
  void OnStart(const ServiceName& aService, const StartedPrompt& aPrompt,
               const EngineTraits& aEngine, Time aNow);
  // Records the time from sending a request for decoding until its last event.
  void OnDecoded(const ServiceName& aService, Duration aSlotTime, std::uint32_t aMaximumOutput,
                 Time aNow);
  // Replaces what a peer reported earlier.
  void OnPeerNeed(const HostName& aHost, NeedByService aNeed, Time aNow);

  // Need of this daemon's requests, to be reported to its peers.
  NeedByService LocalNeed(Time aNow) const;
  // Needs of the requests of this daemon and of all peers with a recent report.
  NeedByService TotalNeeds(Time aNow) const;
  StageNeed TotalNeed(const ServiceName& aService, Time aNow) const;
  // Returns how many engines a need keeps busy, or nothing in the first seconds of the traffic.
  std::optional<double> BusyEngines(const StageNeed& aNeed, Time aNow) const;
  // Returns the share of engines for decoding at which both stages are equally busy, or nothing
  // until enough work has been measured.
  std::optional<double> DecodeShare(const ServiceName& aService, Time aNow) const;

private:
  struct LocalService
  {
    double DecodeSecondsPerToken() const;

    StageNeed need;
    // Sums over decoded answers, decaying like the need.
    double decodedSeconds = 0.0;
    double decodedTokens = 0.0; // by the maximum output of the requests
    Time updated{};
  };
  struct PeerReport
  {
    NeedByService need;
    Time receivedAt{};
  };

  LocalService& UpdateLocal(const ServiceName& aService, Time aNow);

  std::map<ServiceName, LocalService> mLocal;
  std::map<HostName, PeerReport> mPeers;
  std::optional<Time> mFirstStart;
};

} // namespace masticstep::dispatch
