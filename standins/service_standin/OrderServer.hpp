#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"

#include <map>

namespace masticstep::standins {

struct ServiceFaults
{
  bool outage = false;          // every call answers 503 without running
  Duration delay{};             // before a call runs
  Duration lateAnswer{};        // between running a call and answering it
  std::int64_t failBefore = 0;  // calls that answer 500 without running
  std::int64_t failAfter = 0;   // calls that run and answer 500
  std::int64_t loseAnswers = 0; // calls that run and whose connection is then closed
};

// Plain ordering service that counts how often each idempotency key ran. It does not itself refuse
// repetitions: keeping orders from running twice is the task of masticstep.
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
