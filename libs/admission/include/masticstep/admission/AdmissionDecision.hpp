#pragma once

#include "masticstep/admission/Refusal.hpp"

#include <cstdint>

namespace masticstep::admission {

enum class AdmissionKind : std::uint8_t
{
  Admitted, // may be routed now
  Queued,   // returned later by Release or OnTime
  Refused
};

struct AdmissionDecision
{
  AdmissionKind kind = AdmissionKind::Refused;
  // Valid only if the request is refused.
  Refusal refusal;
};

} // namespace masticstep::admission
