#include "Dispatch.hpp"

#include "masticstep/net/Clock.hpp"

#include <optional>
#include <utility>

namespace masticstep::order_service {

using net::ConnectionPool;
using orders::BackendReply;
using orders::BackendStatus;

namespace {

// Sends the request over an open connection. Returns nullopt if no complete response was received;
// the call may have been executed.
net::Task<std::optional<BackendReply>> Exchange(net::HttpClientConnection& aConnection,
                                                const net::HttpRequest& aRequest, Time aDeadline,
                                                std::size_t aMaximumResponseBytes)
{
  const Result<void, net::NetError> sent = co_await aConnection.Send(aRequest, aDeadline);
  if (!sent) {
    co_return std::nullopt;
  }
  const Result<net::HttpResponseHead, net::NetError> head = co_await aConnection.ReadHead();
  if (!head) {
    co_return std::nullopt;
  }
  BackendReply reply;
  reply.status = BackendStatus::Responded;
  reply.httpStatus = head->status;
  reply.contentType = std::string(net::FindHeader(head->headers, "Content-Type"));
  for (;;) {
    const Result<std::string, net::NetError> part = co_await aConnection.ReadBodySome();
    if (!part || reply.body.size() + part->size() > aMaximumResponseBytes) {
      co_return std::nullopt;
    }
    if (part->empty()) {
      co_return reply;
    }
    reply.body += *part;
  }
}

} // namespace

net::Task<BackendReply> Dispatch(std::shared_ptr<ConnectionPool> aPool, OrderCall aCall,
                                 RequestId aId, DispatchLimits aLimits)
{
  BackendReply reply;
  reply.id = aId;
  reply.status = BackendStatus::NotSent;
  for (const OrderTarget& target : aCall.targets) {
    const Duration remaining = aCall.deadline - net::Now();
    if (remaining <= Duration::zero()) {
      co_return reply;
    }
    Result<ConnectionPool::Lease, net::NetError> lease =
      co_await aPool->AcquireFresh(target.address, std::min(aLimits.connectTimeout, remaining));
    if (!lease) {
      continue;
    }
    // The process may have been suspended while connecting.
    if (net::Now() >= aCall.deadline) {
      co_return reply;
    }
    std::optional<BackendReply> response =
      co_await Exchange(**lease, target.request, aCall.deadline, aLimits.maximumResponseBytes);
    if (!response) {
      (*lease)->Close();
      reply.status = BackendStatus::Unknown;
      co_return reply;
    }
    response->id = aId;
    co_return std::move(*response);
  }
  co_return reply;
}

} // namespace masticstep::order_service
