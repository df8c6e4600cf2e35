#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/control/OrderCodec.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <memory>

namespace masticstep::control {

// Returns whether an order may still be sent; evaluated just before the first byte is written.
using SendPredicate = std::function<bool()>;

// Sends an order to an engine over a new connection, so that a failure to connect proves that
// nothing was sent. The connection is closed at notAfter at the latest.
net::Task<authority::EngineReply> SendOrder(std::shared_ptr<net::ConnectionPool> aPool,
                                            std::shared_ptr<const OrderCodec> aCodec,
                                            EngineTarget aEngine,
                                            authority::OrderTransmission aTransmission,
                                            SendPredicate aMaySend);

// Order format of docs/design.md: POST /orders with the order id.
class HttpOrderCodec : public OrderCodec
{
public:
  net::HttpRequest EncodeOrder(const EngineTarget& aEngine,
                               const authority::OrderTransmission& aTransmission) const override;
  authority::EngineReply DecodeReply(unsigned aStatus, const std::string& aBody,
                                     const std::string& aOrderId) const override;
};

} // namespace masticstep::control
