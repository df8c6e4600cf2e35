#pragma once

#include "masticstep/duties/UsageReporter.hpp"
#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/scaling/EngineOrder.hpp"

#include <cstdint>

namespace masticstep::relay {

// Encodes the calls of singleton duties to the platform and decodes their answers.
class DutyCodec
{
public:
  virtual ~DutyCodec() = default;

  virtual net::HttpRequest EncodeUsage(const duties::UsageReport& aReport,
                                       std::uint64_t aFencing) const = 0;
  virtual duties::SendOutcome DecodeUsageAnswer(unsigned aStatus) const = 0;
  virtual net::HttpRequest EncodeOrder(const scaling::EngineOrder& aOrder,
                                       std::uint64_t aFencing) const = 0;
  virtual scaling::OrderOutcome DecodeOrderAnswer(unsigned aStatus) const = 0;
};

} // namespace masticstep::relay
