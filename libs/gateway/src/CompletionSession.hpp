#pragma once

#include "CompletionRequest.hpp"
#include "CompletionResponse.hpp"
#include "EngineStream.hpp"
#include "GatewayParts.hpp"
#include "RequestMetrics.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::gateway {

// Answers one completion: chooses engines, relays tokens and recovers from failures.
class CompletionSession
{
public:
  CompletionSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
                    net::HttpResponder& aResponder);

  net::Task<void> Run(net::HttpRequest aRequest, bool aIsChat);

private:
  // Why a running attempt is stopped from this side.
  enum class Interruption
  {
    None,
    CallerGone,
    DeadlinePassed,
    Shutdown
  };
  enum class AttemptEnd
  {
    Done,
    Interrupted,
    TryAnother,
    Refused // mRefusal says how
  };

  Result<void, Refusal> Prepare(const net::HttpRequest& aRequest, bool aIsChat);
  net::Task<Result<void, Refusal>> Admit();
  // Waits for room at the engines. Returns a refusal if the request may not wait any longer.
  net::Task<std::optional<Refusal>> AfterNoRoom();
  net::Task<void> Serve();
  net::Task<AttemptEnd> Attempt(const BackendServer& aEngine);
  net::Task<AttemptEnd> RelayWithResumes(const BackendServer& aEngine, EngineStream& aStream);
  // Relays until the end of the stream; returns the failure, if any.
  net::Task<std::optional<StreamFailure>> Relay(EngineStream& aStream);
  net::Task<AttemptEnd> AfterFailure(const BackendServer& aEngine, EngineStream& aStream,
                                     StreamFailure aFailure);
  net::Task<AttemptEnd> AfterInterruption(const BackendServer& aEngine, EngineStream& aStream);
  AttemptEnd InterruptedBetweenAttempts();
  net::Task<retry::Progress> ProgressOf(const BackendServer& aEngine, EngineStream& aStream,
                                        const StreamFailure& aFailure);
  retry::RetryDecision Decide(retry::Progress aProgress, bool aIsResumable);
  // Cancels the request on the engine. Returns whether it had started there, if the engine says.
  net::Task<std::optional<bool>> CancelOnEngine(const BackendServer& aEngine);
  void Interrupt(Interruption aReason);
  EngineQuery Query() const;
  const BackendServer* FindEngine(const EngineId& aEngine) const;
  Refusal EngineRefusal(const StreamFailure& aFailure) const;
  net::Task<void> Refuse(Refusal aRefusal);
  void LogEnd(const char* aOutcome) const;

  std::shared_ptr<GatewayParts> mParts;
  const RequestName mName;
  net::HttpResponder& mResponder;
  const Time mArrived;
  // Waiting since then counts as load. Time lost to a failed engine does not: a request that must
  // go to another engine would be shed as if the fleet were overloaded.
  Time mWaitingSince;
  ConfigurationPointer mConfiguration;
  const ClientAccount* mAccount = nullptr;
  const Service* mService = nullptr;
  const ServiceClass* mClass = nullptr;
  CompletionRequest mCall;
  Time mDeadline;
  std::unique_ptr<CompletionResponse> mAnswer;
  std::optional<RequestMetrics> mMetrics;
  EngineStream* mStream = nullptr; // of the running attempt
  Interruption mInterruption = Interruption::None;
  Refusal mRefusal;
  std::vector<EngineId> mExcluded;
  std::uint32_t mRetries = 0;
  std::uint32_t mResumes = 0;
  bool mMayHaveRun = false;
  bool mIsWaiting = false;  // for admission
  bool mHasEntered = false; // admitted and not yet left
};

} // namespace masticstep::gateway
