#include "masticstep/platform_client/HttpObjectStore.hpp"

#include "HttpForm.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <optional>
#include <utility>

namespace masticstep::platform_client {

using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;

namespace {

// Longest time of a call: a watch waits for changes before it is answered.
Duration TimeLimit(const PlatformRequest& aRequest, Duration aCall)
{
  const auto* watch = std::get_if<platform::WatchRequest>(&aRequest.call);
  return watch == nullptr ? aCall : watch->timeout + aCall;
}

} // namespace

// Lives as long as the store or any of its calls.
struct HttpObjectStore::Shared
{
  explicit Shared(StoreOptions aOptions)
    : options(std::move(aOptions))
    , pool(net::ConnectionPool::Create())
    , form(options.form ? options.form : std::make_shared<const HttpForm>(options.path))
    , address(options.address)
    , gate(options.gate, options.seed)
  {
  }

  // Returns where the call goes; nothing if it is held back.
  std::optional<net::HostPort> Admit();
  void Note(const PlatformReply& aReply);

  const StoreOptions options;
  const std::shared_ptr<net::ConnectionPool> pool;
  const std::shared_ptr<const ObjectForm> form;
  std::mutex mutex; // guards the members below
  net::HostPort address;
  CallGate gate;
  StoreCounters counters;
};

std::optional<net::HostPort> HttpObjectStore::Shared::Admit()
{
  const std::lock_guard<std::mutex> lock(mutex);
  const bool admitted = gate.Admit(net::Now());
  (admitted ? counters.calls : counters.heldBack) += 1;
  return admitted ? std::optional<net::HostPort>(address) : std::nullopt;
}

void HttpObjectStore::Shared::Note(const PlatformReply& aReply)
{
  const std::lock_guard<std::mutex> lock(mutex);
  counters.unknown += aReply.status == PlatformStatus::Unknown ? 1 : 0;
  const bool failed = aReply.status == PlatformStatus::Unknown ||
                      aReply.status == PlatformStatus::NotSent ||
                      aReply.status == PlatformStatus::Refused;
  if (failed) {
    gate.OnFailure(net::Now());
  } else {
    gate.OnAnswer();
  }
}

namespace {

net::Task<PlatformReply> Exchange(std::shared_ptr<net::ConnectionPool> aPool,
                                  std::shared_ptr<const ObjectForm> aForm, net::HostPort aAddress,
                                  PlatformRequest aRequest, net::FetchLimits aLimits)
{
  net::HttpRequest http = aForm->ToHttp(aRequest);
  Result<net::HttpResponse, net::FetchError> response =
    co_await net::Fetch(*aPool, aAddress, std::move(http), aLimits);
  if (response) {
    co_return aForm->FromHttp(aRequest, *response);
  }
  // Other idle connections to the platform may be as dead as this one.
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
  const std::optional<net::HostPort> address = shared->Admit();
  if (!address) {
    co_return PlatformReply{ aRequest.number, PlatformStatus::NotSent, {}, {}, 0, {}, false };
  }
  const StoreOptions& options = shared->options;
  const net::FetchLimits limits{ options.connect, TimeLimit(aRequest, options.call),
                                 platform::kMaximumObjectBytes * 4 };
  PlatformReply reply =
    co_await Exchange(shared->pool, shared->form, *address, std::move(aRequest), limits);
  shared->Note(reply);
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
  // What was wrong with the old address says nothing about the new one.
  mShared->gate.OnAnswer();
}

} // namespace masticstep::platform_client
