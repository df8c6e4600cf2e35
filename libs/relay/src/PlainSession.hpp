#pragma once

#include "Session.hpp"

namespace masticstep::relay {

// Relays a request to a plain service. The answer is passed on once it is whole.
class PlainSession : public Session
{
public:
  using Session::Session;

  net::Task<void> Run() override;

private:
  enum class Step
  {
    Done,    // the caller has its answer
    Continue // another backend server may be tried
  };

  net::Task<Step> Attempt();
  net::Task<Step> RelayResponse(const dispatch::Backend& aBackend, Exchange& aExchange,
                                BackendResponseHead aHead);
  net::Task<Step> HandleFailure(const dispatch::Backend& aBackend, ExchangeError aError);
  bool MayExecuteAgain();
};

} // namespace masticstep::relay
