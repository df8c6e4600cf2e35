#pragma once

#include "masticstep/authority/EngineOrderMachine.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <string>

namespace masticstep::control {

struct EngineTarget;

// How orders to engines and their answers are written in HTTP.
class OrderDialect
{
public:
  virtual ~OrderDialect() = default;

  virtual net::HttpRequest RequestOf(const EngineTarget& aEngine,
                                     const authority::EngineSend& aSend) const = 0;
  virtual authority::EngineReply ReplyOf(unsigned aStatus, const std::string& aBody,
                                         const std::string& aOrderId) const = 0;
};

} // namespace masticstep::control
