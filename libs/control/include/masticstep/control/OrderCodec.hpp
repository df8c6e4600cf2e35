#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <string>

namespace masticstep::control {

struct EngineTarget;

// How orders to engines and their answers are written in HTTP.
class OrderCodec
{
public:
  virtual ~OrderCodec() = default;

  virtual net::HttpRequest EncodeOrder(const EngineTarget& aEngine,
                                       const authority::OrderTransmission& aSend) const = 0;
  virtual authority::EngineReply DecodeReply(unsigned aStatus, const std::string& aBody,
                                             const std::string& aOrderId) const = 0;
};

} // namespace masticstep::control
