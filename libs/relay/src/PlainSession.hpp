#pragma once

#include "Session.hpp"

namespace masticstep::relay {

// Relays a request to a plain service. The response is forwarded once it has been read completely.
class PlainSession : public Session
{
public:
  using Session::Session;

  net::Task<void> Run() override;

private:
  enum class Step
  {
    Done,    // the request was answered or abandoned
    Continue // try another backend server
  };

  net::Task<Step> Attempt();
  net::Task<Step> RelayResponse(const dispatch::Backend& aBackend, Exchange& aExchange,
                                BackendResponseHead aHead);
  net::Task<Step> HandleFailure(const dispatch::Backend& aBackend, ExchangeError aError);
  bool MayExecuteAgain();
};

} // namespace masticstep::relay
