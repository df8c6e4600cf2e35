#include "StreamFailure.hpp"

#include <algorithm>
#include <array>

namespace masticstep::gateway {

EngineFailure ToEngineFailure(const StreamFailure& aFailure)
{
  switch (aFailure.kind) {
    case StreamFailureKind::NotConnected:
      return EngineFailure::ConnectionFailed;
    case StreamFailureKind::Silent:
      return EngineFailure::Silent;
    case StreamFailureKind::Rejected:
      return aFailure.status >= 500 && aFailure.status != 503 ? EngineFailure::Broken
                                                              : EngineFailure::Refused;
    case StreamFailureKind::Broken:
    case StreamFailureKind::Mismatched:
    case StreamFailureKind::Failed:
      return EngineFailure::Broken;
  }
  return EngineFailure::Broken;
}

std::string Describe(const StreamFailure& aFailure)
{
  const bool hasStatus = aFailure.kind == StreamFailureKind::Rejected;
  return hasStatus ? "it answered " + std::to_string(aFailure.status) : aFailure.detail;
}

bool IsConnectionError(const StreamFailure& aFailure)
{
  return aFailure.kind != StreamFailureKind::Rejected && aFailure.kind != StreamFailureKind::Failed;
}

bool IsNotAccepted(const StreamFailure& aFailure)
{
  // 409 is not included: with it, the engine already knows the request id.
  constexpr std::array<unsigned, 6> kNotAcceptedStatuses = { 400, 404, 413, 422, 429, 503 };
  return aFailure.kind == StreamFailureKind::Rejected &&
         std::find(kNotAcceptedStatuses.begin(), kNotAcceptedStatuses.end(), aFailure.status) !=
           kNotAcceptedStatuses.end();
}

bool IsCallerError(const StreamFailure& aFailure)
{
  return aFailure.kind == StreamFailureKind::Rejected &&
         (aFailure.status == 400 || aFailure.status == 413 || aFailure.status == 422);
}

} // namespace masticstep::gateway
