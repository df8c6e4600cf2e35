#pragma once

#include "Exchange.hpp"
#include "RoutedRequest.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <string_view>

namespace masticstep::relay {

// Longest idle time of a pooled connection that may be used. The backend server may have closed an
// older one without the relay having noticed, and a request sent on it would be lost.
constexpr Duration kMaximumIdleRepeatable = Seconds(5);
constexpr Duration kMaximumIdleNonRepeatable = Milliseconds(1000);

constexpr const char* kQuarantinedMessage = "servers crashed on this request or a part of it";

bool IsSuccess(unsigned aStatus);
bool IsServerError(unsigned aStatus);

// Base of the request sessions: caller connection, active exchange, retry budget and logging.
class Session
{
public:
  Session(std::shared_ptr<RelayState> aState, RoutedRequest aRoutedRequest,
          net::HttpResponder& aResponder);
  virtual ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Answers the request.
  virtual net::Task<void> Run() = 0;
  // Called when the listener of a stopping daemon closes. A request that waits for its first
  // backend server is refused.
  virtual void OnListenerEnd() {}
  // Ends the request with an answer, since the daemon is about to exit.
  void EndForShutdown();
  // Logs that the process exits before the request is completed.
  void LogCut() const;

protected:
  // Returns whether the caller has disconnected.
  bool IsCallerGone() const { return mResponder.IsGone(); }
  bool IsPastDeadline() const;
  // Stops what the request waits for: its caller has disconnected or the daemon is about to exit.
  virtual void StopWaiting();
  // Returns whether the request must not be passed on, since the daemon is stopping and no backend
  // server has got the request, or since the daemon is about to exit.
  bool IsRefusedByShutdown() const;
  net::Task<void> RefuseForShutdown();
  // Logs the refusal and sends it, unless the caller has disconnected or a response has started.
  net::Task<void> Refuse(Refusal aRefusal);
  // Refuses a request that cannot be served. The refusal guarantees that the request was not
  // executed only if no backend server may have started it.
  net::Task<void> GiveUp(std::string aReason, std::string aMessage);
  // Takes retries from the service's retry budget, one for each message that a backend server gets
  // again. Returns false if they exceed the budget, or if nobody waits for the answer any more.
  bool TryTakeRetry(std::uint32_t aMessages = 1);
  // Returns whether the request or a part of its prompt is in quarantine since it crashes engines.
  // If so, callers that are refused are told to come back after its end.
  bool IsQuarantined();
  // Returns whether the key by which the request was accepted has been withdrawn since.
  bool IsKeyWithdrawn() const;
  // Counts the request for its account, once, when a backend server begins to work on it.
  void CountBegun();
  // Refuses a request whose key has been withdrawn.
  net::Task<void> RefuseWithdrawnKey();
  // What of the request may have crashed a backend server that was working on it.
  enum class Suspects : std::uint8_t
  {
    All,
    WholeRequest // not the parts of its prompt
  };
  // Reports the request and the parts of its prompt as suspects if the backend server may have
  // crashed.
  void ReportBrokenAnswer(const dispatch::Backend& aBackend, const ExchangeError& aError,
                          Suspects aSuspects = Suspects::All);
  // Clears the request of suspicion after an answer of the backend server.
  void ReportAnswer(Suspects aSuspects = Suspects::All);
  void LogFailure(const dispatch::Backend& aBackend, const ExchangeError& aError) const;
  void LogCompletion(std::string_view aOutcome, unsigned aStatus,
                     std::optional<Time> aFirstEvent = std::nullopt) const;
  SendOptions OptionsFor(const dispatch::Backend& aBackend) const;
  Duration RetryAfter() const;
  // Longest idle time of a pooled connection that the request may use.
  Duration MaximumIdle() const;
  // Classifies a failed exchange for the dispatcher's view of the backend server.
  dispatch::Outcome OutcomeOf(const ExchangeError& aError) const;

  std::size_t CountOf(Suspects aSuspects) const;

  const std::shared_ptr<RelayState> mState;
  RoutedRequest mRequest;
  net::HttpResponder& mResponder;
  const std::vector<std::uint64_t> mSharedParts;        // ids; empty for requests without a prompt
  const std::vector<quarantine::SuspectPart> mSuspects; // the whole request, then the shared parts
  Exchange* mActiveExchange = nullptr;                  // null if none is running
  std::optional<Duration> mRetryAfter; // set by the prompt queue if it refused the request
  bool mIsCounted = false;             // as usage of the account
  bool mIsEnding = false;              // the daemon is about to exit
  bool mPossiblyExecuted = false;      // a backend server may have executed the request
  std::uint32_t mExecutions = 0;       // number of attempts that may have been executed
  dispatch::BackendNames mExcluded;
  net::ConnectionIds mUsedConnections; // have carried a message of the request
};

} // namespace masticstep::relay
