#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::admission {

struct AdmissionRequest
{
  RequestId id;
  ServiceName service;
  ClassName className;
  AccountName account;
  // Prompt tokens plus expected output tokens.
  std::uint32_t tokens = 0;
  Time arrived;
  Time deadline;
  // Minimum duration of the request after its release.
  Duration expected{ 0 };

  bool operator==(const AdmissionRequest&) const = default;
};

} // namespace masticstep::admission
