#include "OrderSender.hpp"

#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/net/Clock.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::control {

using authority::EngineReply;
using authority::OrderTransmission;

namespace {

constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kResponseTimeout = Seconds(2);
constexpr std::size_t kMaximumResponseBytes = 65536;

} // namespace

net::HttpRequest HttpOrderCodec::EncodeOrder(const EngineTarget& aEngine,
                                             const OrderTransmission& aTransmission) const
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = aEngine.path + "/orders";
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body =
    boost::json::serialize(boost::json::object{ { "order_id", aTransmission.order.id },
                                                { "fencing", aTransmission.fencing },
                                                { "kind", aTransmission.order.kind },
                                                { "argument", aTransmission.order.argument } });
  return request;
}

EngineReply HttpOrderCodec::DecodeReply(unsigned aStatus, const std::string& aBody,
                                        const std::string& aOrderId) const
{
  if (aStatus == 409) {
    return EngineReply::Refused;
  }
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aBody, "engine", faults);
  if (aStatus != 200 || !object) {
    return EngineReply::Unknown;
  }
  ObjectReader reader(*object, "engine", "$", faults);
  const bool isSameOrder = reader.RequiredString("order_id") == aOrderId;
  const std::string state = reader.RequiredString("state");
  if (!isSameOrder || !faults.empty()) {
    return EngineReply::Unknown;
  }
  return state == "done" ? EngineReply::Done : EngineReply::Running;
}

net::Task<EngineReply> SendOrder(std::shared_ptr<net::ConnectionPool> aPool,
                                 std::shared_ptr<const OrderCodec> aCodec, EngineTarget aEngine,
                                 OrderTransmission aTransmission, SendPredicate aMaySend)
{
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await aPool->AcquireFresh(aEngine.address, kConnectTimeout);
  if (!lease) {
    co_return EngineReply::NotSent;
  }
  const net::HttpRequest request = aCodec->EncodeOrder(aEngine, aTransmission);
  const Time now = net::Now();
  if (!aMaySend() || now >= aTransmission.notAfter) {
    co_return EngineReply::NotSent;
  }
  const Time deadline = std::min(aTransmission.notAfter, now + kResponseTimeout);
  net::HttpClientConnection& connection = **lease;
  const Result<void, net::NetError> sent = co_await connection.Send(request, deadline);
  if (!sent) {
    connection.Close();
    co_return EngineReply::Unknown;
  }
  const Result<net::HttpResponseHead, net::NetError> head = co_await connection.ReadHead();
  std::string body;
  while (head && body.size() <= kMaximumResponseBytes) {
    const Result<std::string, net::NetError> chunk = co_await connection.ReadBodySome();
    if (!chunk) {
      break;
    }
    if (chunk->empty()) {
      co_return aCodec->DecodeReply(head->status, body, aTransmission.order.id);
    }
    body += *chunk;
  }
  connection.Close();
  co_return EngineReply::Unknown;
}

} // namespace masticstep::control
