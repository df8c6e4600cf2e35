#pragma once

#include "masticstep/admission/Refusal.hpp"

#include <cstdint>

namespace masticstep::admission {

enum class AdmissionKind : std::uint8_t
{
  Admitted, // to be routed now
  Queued,   // comes back from Release or OnTime
  Refused
};

struct AdmissionDecision
{
  AdmissionKind kind = AdmissionKind::Refused;
  // Set if refused.
  Refusal refusal;
};

} // namespace masticstep::admission
