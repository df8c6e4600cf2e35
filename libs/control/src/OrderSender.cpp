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
constexpr Duration kAnswerTimeout = Seconds(2);
constexpr std::size_t kAnswerBytes = 65536;

} // namespace

net::HttpRequest HttpOrderCodec::EncodeOrder(const EngineTarget& aEngine,
                                             const OrderTransmission& aSend) const
{
  net::HttpRequest request;
  request.method = "POST";
  request.target = aEngine.path + "/orders";
  request.headers.push_back({ "Content-Type", "application/json" });
  request.body =
    boost::json::serialize(boost::json::object{ { "order_id", aSend.order.id },
                                                { "fencing", aSend.fencing },
                                                { "kind", aSend.order.kind },
                                                { "argument", aSend.order.argument } });
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
  const bool same = reader.RequiredString("order_id") == aOrderId;
  const std::string state = reader.RequiredString("state");
  if (!same || !faults.empty()) {
    return EngineReply::Unknown;
  }
  return state == "done" ? EngineReply::Done : EngineReply::Running;
}

net::Task<EngineReply> SendOrder(std::shared_ptr<net::ConnectionPool> aPool,
                                 std::shared_ptr<const OrderCodec> aDialect, EngineTarget aEngine,
                                 OrderTransmission aSend, MaySend aMaySend)
{
  Result<net::ConnectionPool::Lease, net::NetError> lease =
    co_await aPool->AcquireFresh(aEngine.address, kConnectTimeout);
  if (!lease) {
    co_return EngineReply::NotSent;
  }
  const net::HttpRequest request = aDialect->EncodeOrder(aEngine, aSend);
  const Time now = net::Now();
  if (!aMaySend() || now >= aSend.notAfter) {
    co_return EngineReply::NotSent;
  }
  const Time end = std::min(aSend.notAfter, now + kAnswerTimeout);
  net::HttpClientConnection& connection = **lease;
  const Result<void, net::NetError> sent = co_await connection.Send(request, end - now);
  if (!sent) {
    connection.Close();
    co_return EngineReply::Unknown;
  }
  const auto left = [end] { return std::max(end - net::Now(), Milliseconds(1)); };
  const Result<net::HttpResponseHead, net::NetError> head = co_await connection.ReadHead(left());
  std::string body;
  while (head && body.size() <= kAnswerBytes) {
    const Result<std::string, net::NetError> part = co_await connection.ReadBodySome(left());
    if (!part) {
      break;
    }
    if (part->empty()) {
      co_return aDialect->DecodeReply(head->status, body, aSend.order.id);
    }
    body += *part;
  }
  connection.Close();
  co_return EngineReply::Unknown;
}

} // namespace masticstep::control
