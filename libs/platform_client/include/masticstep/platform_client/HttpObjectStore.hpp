#pragma once

#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/platform_client/CallLimiter.hpp"
#include "masticstep/platform_client/ObjectCodec.hpp"

#include <memory>
#include <mutex>
#include <string>

namespace masticstep::platform_client {

struct StoreOptions
{
  net::HostPort address;
  std::string path; // prefix of every target, no trailing slash; used by HttpObjectCodec only
  std::shared_ptr<const ObjectCodec> codec{}; // null for HttpObjectCodec
  Duration connectTimeout = Milliseconds(500);
  // Time limit of a call; the platform normally responds within milliseconds.
  Duration callTimeout = Seconds(1);
  CallLimiterOptions limiter;
  std::uint64_t seed = 0; // of the backoff jitter; must differ between daemons
};

// Counts since the start of the process.
struct StoreCounters
{
  std::uint64_t calls = 0;
  std::uint64_t throttled = 0; // not sent because of the rate limit or backoff
  std::uint64_t unknown = 0;   // sent, but the outcome is unknown

  auto operator<=>(const StoreCounters&) const = default;
};

// Client of the platform's object API over HTTP. Callbacks run on a worker of the executor. A call
// that is throttled or whose connection is refused completes with NotSent; a call without a
// response completes with Unknown. A call that is conditional on a version of before the store was
// restored from an older copy completes with Conflict and is not sent.
class HttpObjectStore : public platform::ObjectStore
{
public:
  // The executor must outlive every call.
  HttpObjectStore(net::Executor aExecutor, StoreOptions aOptions);
  ~HttpObjectStore() override;

  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override;
  // Coroutine version of Submit.
  net::Task<platform::PlatformReply> Call(platform::PlatformRequest aRequest);
  StoreCounters Counters() const;
  // Sends later calls to this address and ends a backoff. Calls in progress are unaffected.
  void SetAddress(net::HostPort aAddress);

private:
  struct Shared;

  net::Executor mExecutor;
  std::shared_ptr<Shared> mShared;
};

} // namespace masticstep::platform_client
