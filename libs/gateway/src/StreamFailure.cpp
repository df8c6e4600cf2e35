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
    case StreamFailureKind::Crossed:
    case StreamFailureKind::Failed:
      return EngineFailure::Broken;
  }
  return EngineFailure::Broken;
}

std::string TextOf(const StreamFailure& aFailure)
{
  const bool hasStatus = aFailure.kind == StreamFailureKind::Rejected;
  return hasStatus ? "it answered " + std::to_string(aFailure.status) : aFailure.detail;
}

bool IsConnectionFault(const StreamFailure& aFailure)
{
  return aFailure.kind != StreamFailureKind::Rejected && aFailure.kind != StreamFailureKind::Failed;
}

bool IsNotTaken(const StreamFailure& aFailure)
{
  // 409 is left out: the engine knows the request id from before.
  constexpr std::array<unsigned, 6> kNotTaken = { 400, 404, 413, 422, 429, 503 };
  return aFailure.kind == StreamFailureKind::Rejected &&
         std::find(kNotTaken.begin(), kNotTaken.end(), aFailure.status) != kNotTaken.end();
}

bool IsCallersFault(const StreamFailure& aFailure)
{
  return aFailure.kind == StreamFailureKind::Rejected &&
         (aFailure.status == 400 || aFailure.status == 413 || aFailure.status == 422);
}

} // namespace masticstep::gateway
