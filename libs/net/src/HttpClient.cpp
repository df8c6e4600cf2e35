#include "masticstep/net/HttpClient.hpp"

#include "masticstep/net/Clock.hpp"

#include <utility>

namespace masticstep::net {

namespace {

Task<Result<HttpResponse, FetchError>> FetchOver(ConnectionPool::Lease aLease, HttpRequest aRequest,
                                                 FetchLimits aLimits)
{
  HttpClientConnection& connection = *aLease;
  const Result<void, NetError> sent = co_await connection.Send(aRequest, Now() + aLimits.total);
  if (!sent) {
    co_return Failure(FetchError{ sent.error(), true });
  }
  Result<HttpResponseHead, NetError> head = co_await connection.ReadHead();
  if (!head) {
    co_return Failure(FetchError{ head.error(), true });
  }
  HttpResponse response{ head->status, std::move(head->headers), {} };
  while (true) {
    const Result<std::string, NetError> part = co_await connection.ReadBodySome();
    if (!part) {
      co_return Failure(FetchError{ part.error(), true });
    }
    if (part->empty()) {
      co_return response;
    }
    response.body += *part;
    const Result<void, NetError> held = connection.Hold(response.body.capacity());
    if (!held) {
      co_return Failure(FetchError{ held.error(), true });
    }
    if (response.body.size() > aLimits.bodyBytes) {
      connection.Close();
      co_return Failure(FetchError{ { NetErrorKind::BodyTooLarge, {} }, true });
    }
  }
}

} // namespace

Task<Result<HttpResponse, FetchError>> Fetch(ConnectionPool& aPool, HostPort aAddress,
                                             HttpRequest aRequest, FetchLimits aLimits)
{
  Result<ConnectionPool::Lease, NetError> lease =
    co_await aPool.Acquire(std::move(aAddress), aLimits.connect);
  if (!lease) {
    co_return Failure(FetchError{ lease.error(), false });
  }
  co_return co_await FetchOver(std::move(*lease), std::move(aRequest), aLimits);
}

Task<Result<HttpResponse, FetchError>> FetchOverNewConnection(ConnectionPool& aPool,
                                                              HostPort aAddress,
                                                              HttpRequest aRequest,
                                                              FetchLimits aLimits)
{
  Result<ConnectionPool::Lease, NetError> lease =
    co_await aPool.AcquireFresh(std::move(aAddress), aLimits.connect);
  if (!lease) {
    co_return Failure(FetchError{ lease.error(), false });
  }
  (*lease)->PreventReuse();
  co_return co_await FetchOver(std::move(*lease), std::move(aRequest), aLimits);
}

} // namespace masticstep::net
