#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <string>

namespace masticstep::control {

struct EngineTarget;

// Encodes orders to engines as HTTP requests and decodes the responses.
class OrderCodec
{
public:
  virtual ~OrderCodec() = default;

  virtual net::HttpRequest EncodeOrder(const EngineTarget& aEngine,
                                       const authority::OrderTransmission& aTransmission) const = 0;
  virtual authority::EngineReply DecodeReply(unsigned aStatus, const std::string& aBody,
                                             const std::string& aOrderId) const = 0;
};

} // namespace masticstep::control
