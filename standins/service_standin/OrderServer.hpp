#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"

#include <map>

namespace masticstep::standins {

// Faults that the service injects. A counter is decremented by each call that it affects.
struct ServiceFaults
{
  bool outage = false;          // reply to every call with status 503 without executing it
  Duration delay{};             // before a call is executed
  Duration lateAnswer{};        // between the execution of an order and its response
  std::int64_t failBefore = 0;  // number of calls that get status 500 without being executed
  std::int64_t failAfter = 0;   // number of orders that are executed and get status 500
  std::int64_t loseAnswers = 0; // number of orders that are executed, then disconnected
};

// Ordering service that counts the executions per idempotency key. It does not deduplicate calls:
// preventing duplicate executions is the task of masticstep.
class OrderServer : public HttpHandler
{
public:
  Awaitable<void> Handle(Exchange& aExchange) override;

private:
  Awaitable<void> PlaceOrder(Exchange& aExchange);
  Awaitable<void> HandleFaults(Exchange& aExchange);
  boost::json::value ExecutionsJson() const;

  ServiceFaults mFaults;
  std::map<std::string, std::uint64_t> mExecutions;
  std::uint64_t mCalls = 0;
};

} // namespace masticstep::standins
