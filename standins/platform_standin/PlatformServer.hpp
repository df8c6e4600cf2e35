#pragma once

#include "common/HttpServer.hpp"
#include "common/Signal.hpp"
#include "common/TokenBucket.hpp"
#include "platform_standin/ObjectTable.hpp"

namespace masticstep::standins {

struct PlatformFaults
{
  bool outage = false;          // every call answers 503
  bool silent = false;          // calls are taken and get no answer until this is off
  Duration latency{};           // half before the effect of a call, half after it
  std::int64_t loseAnswers = 0; // writes that take effect and whose connection is then closed
  double writesPerSecond = 0;
  double readsPerSecond = 0;
};

struct PlatformCounters
{
  std::uint64_t reads = 0; // includes lists and watches
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t rateRefusals = 0;
  std::uint64_t outageRefusals = 0;
  std::uint64_t lostAnswers = 0;
  std::uint64_t largestObject = 0; // bytes
};

// The platform's object API of section 6 of the design page.
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
  Awaitable<void> Change(Exchange& aExchange, const std::string& aKey);
  // Counts the call. Returns 0 if it may go on, else the status that refuses it.
  unsigned Admit(bool aIsWrite);
  Awaitable<void> Refuse(Exchange& aExchange, unsigned aStatus);
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
