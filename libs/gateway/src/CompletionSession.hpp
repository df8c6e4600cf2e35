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

// Handles one completion request: selects engines, relays tokens and recovers from failures.
class CompletionSession
{
public:
  CompletionSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
                    net::HttpResponder& aResponder);

  net::Task<void> Run(net::HttpRequest aRequest, bool aIsChat);

private:
  // Reason for which the gateway stops a running attempt.
  enum class Interruption
  {
    None,
    CallerGone,
    DeadlinePassed,
    Shutdown
  };
  enum class AttemptResult
  {
    Done,
    Interrupted,
    TryAnotherEngine,
    Refused // see mRefusal
  };

  Result<void, Refusal> Prepare(const net::HttpRequest& aRequest, bool aIsChat);
  net::Task<Result<void, Refusal>> Admit();
  // Waits for engine capacity. Returns a refusal if the request may not wait any longer.
  net::Task<std::optional<Refusal>> WaitForCapacity();
  net::Task<void> Serve();
  net::Task<AttemptResult> Attempt(const BackendServer& aEngine);
  net::Task<AttemptResult> RelayWithResumes(const BackendServer& aEngine, EngineStream& aStream);
  // Tries to get the answer over another connection or from another engine. The engine may go on,
  // so its connection stays open until the answer can be had otherwise.
  void OnEngineSilent();
  bool MayResume();
  // Spends the retry budget if the request can move to another engine.
  bool MoveFromSilentEngine();
  bool HasOtherEngine() const;
  // Relays tokens until the end of the stream. Returns the failure, if any.
  net::Task<std::optional<StreamFailure>> Relay(EngineStream& aStream);
  net::Task<AttemptResult> HandleFailure(const BackendServer& aEngine, EngineStream& aStream,
                                         StreamFailure aFailure);
  net::Task<AttemptResult> HandleInterruption(const BackendServer& aEngine, EngineStream& aStream);
  AttemptResult FinishInterrupted();
  net::Task<retry::Progress> DetermineProgress(const BackendServer& aEngine, EngineStream& aStream,
                                               const StreamFailure& aFailure);
  retry::Attempt AttemptWith(retry::Progress aProgress) const;
  retry::RetryDecision Decide(retry::Progress aProgress, bool aIsResumable);
  // Cancels the request on the engine. Returns whether it had started there, if the engine reports
  // it.
  net::Task<std::optional<bool>> CancelOnEngine(const BackendServer& aEngine);
  void Interrupt(Interruption aReason);
  EngineQuery BuildQuery() const;
  const BackendServer* FindEngine(const EngineId& aEngine) const;
  Refusal ToCallerRefusal(const StreamFailure& aFailure) const;
  net::Task<void> Refuse(Refusal aRefusal);
  void LogEnd(const char* aOutcome) const;

  std::shared_ptr<GatewayParts> mParts;
  const RequestName mName;
  net::HttpResponder& mResponder;
  const Time mArrived;
  // Start of the time that counts as waiting under load. Time lost to a failed engine is excluded:
  // otherwise a request that moves to another engine would be shed as if the fleet were overloaded.
  Time mWaitingSince;
  ConfigurationPointer mConfiguration;
  const ClientAccount* mAccount = nullptr;
  const Service* mService = nullptr;
  const ServiceClass* mClass = nullptr;
  CompletionRequest mRequest;
  Time mDeadline;
  std::unique_ptr<CompletionResponse> mResponse;
  std::optional<RequestMetrics> mMetrics;
  EngineStream* mStream = nullptr;           // of the running attempt
  EngineId mEngine;                          // of the running attempt
  std::optional<retry::RetryDecision> mMove; // from a silent engine, decided and paid
  Interruption mInterruption = Interruption::None;
  Refusal mRefusal;
  std::vector<EngineId> mExcluded;
  std::uint32_t mRetries = 0;
  std::uint32_t mResumes = 0;
  bool mMayHaveRun = false;
  bool mIsWaiting = false;  // for admission
  bool mIsAdmitted = false; // and OnRequestEnded not yet called
};

} // namespace masticstep::gateway
