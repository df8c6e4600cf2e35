#pragma once

#include "Session.hpp"
#include "masticstep/net/Signal.hpp"

#include <memory>
#include <vector>

namespace masticstep::relay {

// Relays a request to a plain service. The response is forwarded once it has been read completely.
class PlainSession : public Session
{
public:
  using Session::Session;

  net::Task<void> Run() override;

protected:
  void StopWaiting() override;

private:
  enum class Step
  {
    Done,    // the request was answered or abandoned
    Continue // try another backend server
  };

  // One message of the request to a backend server, with its whole answer.
  struct Try;

  net::Task<Step> Attempt();
  // Attempts the request at the server and, if that one is slow, at a second one. The first good
  // answer is the answer of the request.
  net::Task<Step> HedgedAttempt(dispatch::Backend aBackend);
  // Sends the request and reads the answer; sets the signal at the end.
  net::Task<void> RunTry(std::shared_ptr<Try> aTry, std::shared_ptr<net::Signal> aEnded);
  // Starts a second try if the share, the retry budget and the servers allow it.
  std::shared_ptr<Try> StartSecondTry(const Try& aFirst, std::shared_ptr<net::Signal> aEnded);
  net::Task<Step> Finish(Try& aTry);
  bool MayHedge() const;
  net::Task<Step> RelayResponse(const dispatch::Backend& aBackend, Exchange& aExchange,
                                BackendResponseHead aHead);
  // Forwards a complete answer, or goes on with another server after an error.
  net::Task<Step> RelayAnswer(const dispatch::Backend& aBackend, Exchange& aExchange,
                              BackendResponseHead aHead, std::string aBody);
  net::Task<Step> HandleFailure(const dispatch::Backend& aBackend, ExchangeError aError);
  bool MayExecuteAgain();

  std::vector<std::shared_ptr<Try>> mTries; // that are running
};

} // namespace masticstep::relay
