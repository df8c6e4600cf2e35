#include "masticstep/platform_client/HttpObjectStore.hpp"

#include "HttpObjectCodec.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace masticstep::platform_client {

using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;

namespace {

// Returns the time limit of a call. A watch may wait its own timeout for changes in addition.
Duration CallTimeLimit(const PlatformRequest& aRequest, Duration aCallTimeout)
{
  const auto* watch = std::get_if<platform::WatchRequest>(&aRequest.call);
  return watch == nullptr ? aCallTimeout : watch->timeout + aCallTimeout;
}

} // namespace

// State shared by the store and its calls in progress, which may outlive the store.
struct HttpObjectStore::Shared
{
  explicit Shared(StoreOptions aOptions)
    : options(std::move(aOptions))
    , pool(net::ConnectionPool::Create())
    , codec(options.codec ? options.codec : std::make_shared<const HttpObjectCodec>(options.path))
    , address(options.address)
    , limiter(options.limiter, options.seed)
  {
  }

  // Returns the address to send the call to, or nullopt if the call is throttled.
  std::optional<net::HostPort> TryAcquire();
  void RecordReply(const PlatformReply& aReply);

  // Returns whether the call is conditional on a version of an era that has ended.
  bool IsOutdated(const PlatformRequest& aRequest) const;

  const StoreOptions options;
  const std::shared_ptr<net::ConnectionPool> pool;
  const std::shared_ptr<const ObjectCodec> codec;
  std::mutex mutex; // guards the members below
  net::HostPort address;
  CallLimiter limiter;
  StoreCounters counters;
  std::uint64_t era = 0; // newest one of the store's replies
};

bool HttpObjectStore::Shared::IsOutdated(const PlatformRequest& aRequest) const
{
  if (const auto* write = std::get_if<platform::ConditionalWrite>(&aRequest.call)) {
    return write->expected && write->expected->era < era;
  }
  const auto* remove = std::get_if<platform::ConditionalDelete>(&aRequest.call);
  return remove != nullptr && remove->expected.era < era;
}

std::optional<net::HostPort> HttpObjectStore::Shared::TryAcquire()
{
  const std::lock_guard<std::mutex> lock(mutex);
  const bool admitted = limiter.TryAcquire(net::Now());
  (admitted ? counters.calls : counters.throttled) += 1;
  return admitted ? std::optional<net::HostPort>(address) : std::nullopt;
}

void HttpObjectStore::Shared::RecordReply(const PlatformReply& aReply)
{
  const std::lock_guard<std::mutex> lock(mutex);
  era = std::max(era, aReply.era);
  counters.unknown += aReply.status == PlatformStatus::Unknown ? 1 : 0;
  const bool failed = aReply.status == PlatformStatus::Unknown ||
                      aReply.status == PlatformStatus::NotSent ||
                      aReply.status == PlatformStatus::Refused;
  if (failed) {
    limiter.OnFailure(net::Now());
  } else {
    limiter.OnResponse();
  }
}

namespace {

// Callers wait for a reply without end, so a response that cannot be decoded for want of memory
// must not end the call with an exception.
PlatformReply Decode(const ObjectCodec& aForm, const PlatformRequest& aRequest,
                     const net::HttpResponse& aResponse)
{
  try {
    return aForm.DecodeResponse(aRequest, aResponse);
  } catch (const std::exception& error) {
    telemetry::Log(telemetry::Level::Error, "response of the platform not decoded",
                   { { "bytes", static_cast<std::uint64_t>(aResponse.body.size()) },
                     { "problem", error.what() } });
  }
  PlatformReply reply;
  reply.number = aRequest.number;
  return reply;
}

net::Task<PlatformReply> SendRequest(std::shared_ptr<net::ConnectionPool> aPool,
                                     std::shared_ptr<const ObjectCodec> aForm,
                                     net::HostPort aAddress, PlatformRequest aRequest,
                                     net::FetchLimits aLimits)
{
  net::HttpRequest http = aForm->EncodeRequest(aRequest);
  Result<net::HttpResponse, net::FetchError> response =
    co_await net::Fetch(*aPool, aAddress, std::move(http), aLimits);
  if (response) {
    co_return Decode(*aForm, aRequest, *response);
  }
  // Other idle connections to this address may be broken as well.
  aPool->Forget(aAddress);
  PlatformReply reply;
  reply.number = aRequest.number;
  reply.status =
    response.error().mayHaveArrived ? PlatformStatus::Unknown : PlatformStatus::NotSent;
  co_return reply;
}

} // namespace

HttpObjectStore::HttpObjectStore(net::Executor aExecutor, StoreOptions aOptions)
  : mExecutor(std::move(aExecutor))
  , mShared(std::make_shared<Shared>(std::move(aOptions)))
{
}

HttpObjectStore::~HttpObjectStore() = default;

net::Task<PlatformReply> HttpObjectStore::Call(PlatformRequest aRequest)
{
  const std::shared_ptr<Shared> shared = mShared;
  {
    const std::lock_guard<std::mutex> lock(shared->mutex);
    if (shared->IsOutdated(aRequest)) {
      // The store may have assigned the version again, so that the condition would hold by chance.
      PlatformReply reply;
      reply.number = aRequest.number;
      reply.status = PlatformStatus::Conflict;
      reply.era = shared->era;
      co_return reply;
    }
  }
  const std::optional<net::HostPort> address = shared->TryAcquire();
  if (!address) {
    co_return PlatformReply{ aRequest.number, PlatformStatus::NotSent, {}, {}, 0, {}, false };
  }
  const StoreOptions& options = shared->options;
  const net::FetchLimits limits{ options.connectTimeout,
                                 CallTimeLimit(aRequest, options.callTimeout),
                                 platform::kMaximumObjectBytes * 4 };
  PlatformReply reply =
    co_await SendRequest(shared->pool, shared->codec, *address, std::move(aRequest), limits);
  shared->RecordReply(reply);
  co_return reply;
}

void HttpObjectStore::Submit(PlatformRequest aRequest, Callback aCallback)
{
  boost::asio::co_spawn(
    boost::asio::make_strand(mExecutor), Call(std::move(aRequest)),
    [callback = std::move(aCallback)](const std::exception_ptr& aError, PlatformReply aReply) {
      if (!aError) {
        callback(std::move(aReply));
      }
    });
}

StoreCounters HttpObjectStore::Counters() const
{
  const std::lock_guard<std::mutex> lock(mShared->mutex);
  return mShared->counters;
}

void HttpObjectStore::SetAddress(net::HostPort aAddress)
{
  const std::lock_guard<std::mutex> lock(mShared->mutex);
  mShared->address = std::move(aAddress);
  mShared->era = 0;
  // Failures at the old address must not delay calls to the new one.
  mShared->limiter.OnResponse();
}

} // namespace masticstep::platform_client
