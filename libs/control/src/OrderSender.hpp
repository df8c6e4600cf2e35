#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/control/OrderCodec.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <memory>

namespace masticstep::control {

// Returns whether an order may still be sent; asked again just before the first byte.
using MaySend = std::function<bool()>;

// Sends an order to an engine over a new connection, so that a failure to connect surely sent
// nothing, and closes the connection at the order's last moment.
net::Task<authority::EngineReply> SendOrder(std::shared_ptr<net::ConnectionPool> aPool,
                                            std::shared_ptr<const OrderCodec> aDialect,
                                            EngineTarget aEngine,
                                            authority::OrderTransmission aSend, MaySend aMaySend);

// Orders as docs/design.md writes them: POST /orders with the order's id.
class HttpOrderCodec : public OrderCodec
{
public:
  net::HttpRequest EncodeOrder(const EngineTarget& aEngine,
                               const authority::OrderTransmission& aSend) const override;
  authority::EngineReply DecodeReply(unsigned aStatus, const std::string& aBody,
                                     const std::string& aOrderId) const override;
};

} // namespace masticstep::control
