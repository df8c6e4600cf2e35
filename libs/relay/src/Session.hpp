#pragma once

#include "Exchange.hpp"
#include "RoutedRequest.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <string_view>

namespace masticstep::relay {

// A connection that was idle for longer may have been closed unseen, and what is sent on it is
// lost.
constexpr Duration kMaximumIdleRepeatable = Seconds(5);
constexpr Duration kMaximumIdleNonRepeatable = Milliseconds(1000);

bool IsSuccess(unsigned aStatus);
bool IsServerError(unsigned aStatus);

// What the ways to answer a request have in common: the caller's connection, the exchange that runs
// now, the budget for repeats, and the log.
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

protected:
  // Whether nobody waits for the answer any more.
  bool IsCallerGone() const { return mResponder.IsGone(); }
  bool IsPastDeadline() const;
  // Called when the caller leaves.
  virtual void OnCallerGone();
  // Sends a refusal of this daemon's own, unless the caller has left or an answer has begun.
  net::Task<void> Refuse(Refusal aRefusal);
  // Refuses a request that no backend server can take; the promise that it has not run is only made
  // if no backend server may have begun it.
  net::Task<void> GiveUp(std::string aReason, std::string aMessage);
  // Counts a further send of this request if the budget of the service allows it.
  bool TryTakeRetry();
  void LogFailure(const dispatch::Backend& aBackend, const ExchangeError& aError) const;
  void LogCompletion(std::string_view aOutcome, unsigned aStatus,
                     std::optional<Time> aFirstEvent = std::nullopt) const;
  SendOptions OptionsFor(const dispatch::Backend& aBackend) const;
  Duration RetryAfter() const;
  // Longest idle time of a connection that the request may use.
  Duration MaximumIdle() const;
  // What a failed exchange says about its backend server.
  dispatch::Outcome OutcomeOf(const ExchangeError& aError) const;

  const std::shared_ptr<RelayState> mState;
  const RoutedRequest mRequest;
  net::HttpResponder& mResponder;
  Exchange* mActiveExchange = nullptr; // that runs now
  std::optional<Duration> mRetryAfter; // of the queue, if it refused the request
  bool mPossiblyExecuted = false;      // at some backend server
  std::uint32_t mExecutions = 0;       // backend servers that may have run it
  dispatch::BackendNames mExcluded;
};

} // namespace masticstep::relay
