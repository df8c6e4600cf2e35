#pragma once

#include "masticstep/authority/EngineOrderMachine.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <memory>

namespace masticstep::control {

// Returns whether an order may still be sent; asked again just before the first byte.
using MaySend = std::function<bool()>;

// Sends POST /orders to an engine over a new connection, so that a failure to connect surely sent
// nothing, and closes the connection at the order's last moment.
net::Task<authority::EngineReply> SendOrder(std::shared_ptr<net::ConnectionPool> aPool,
                                            EngineTarget aEngine, authority::EngineSend aSend,
                                            MaySend aMaySend);

} // namespace masticstep::control
