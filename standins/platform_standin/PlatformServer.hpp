#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"
#include "platform_standin/ObjectTable.hpp"

namespace masticstep::standins {

// Faults and rate limits of the platform.
struct PlatformFaults
{
  bool outage = false;          // reply to every call with status 503
  bool silent = false;          // accept calls but delay their processing until this is cleared
  Duration latency{};           // one half before a call takes effect, the other half after it
  std::int64_t loseAnswers = 0; // number of writes that are processed but get no response
  double writesPerSecond = 0;
  double readsPerSecond = 0;
};

struct PlatformCounters
{
  std::uint64_t reads = 0; // including lists and watches
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rateRefusals = 0;
  std::uint64_t outageRefusals = 0;
  std::uint64_t lostAnswers = 0;
  std::uint64_t largestObject = 0; // bytes
};

// Implements the platform's object API as specified in section 6 of docs/design.md.
class PlatformServer : public HttpHandler
{
public:
  explicit PlatformServer(const PlatformFaults& aFaults);
  Awaitable<void> Handle(Exchange& aExchange) override;

private:
  Awaitable<void> HandleControl(Exchange& aExchange);
  Awaitable<void> HandleCall(Exchange& aExchange);
  Awaitable<void> Get(Exchange& aExchange, const std::string& aKey);
  Awaitable<void> List(Exchange& aExchange);
  Awaitable<void> Watch(Exchange& aExchange);
  Awaitable<void> WriteOrDelete(Exchange& aExchange, const std::string& aKey);
  // Counts the call. Returns 0 if it is admitted, otherwise the HTTP status to reject it with.
  unsigned Admit(bool aIsWrite);
  Awaitable<void> Reject(Exchange& aExchange, unsigned aStatus);
  void ApplyFaults(const boost::json::object& aBody);
  boost::json::value CountersJson() const;

  PlatformFaults mFaults;
  PlatformCounters mCounters;
  ObjectTable mTable;
  TokenBucket mWriteBucket;
  TokenBucket mReadBucket;
  Signal mChanged;
};

} // namespace masticstep::standins
