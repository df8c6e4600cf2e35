#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <optional>
#include <unordered_map>

namespace masticstep::dispatch {

// Measures how the work for a service divides between prefill and decoding, based on this daemon's
// requests.
class StageDemand
{
public:
  // Records the prefill time of a request.
  void OnPrefill(const ServiceName& aService, Duration aPrefillTime, Time aNow);
  // Records a decoded answer that occupied one of the engine's aSlots slots for aSlotTime.
  void OnDecode(const ServiceName& aService, Duration aSlotTime, std::uint32_t aSlots, Time aNow);

  // Returns the share of engines for decoding that balances the load of both stages, or nothing
  // until enough work has been measured.
  std::optional<double> DecodeShare(const ServiceName& aService, Time aNow) const;

private:
  struct Sums
  {
    double prefillSeconds = 0.0;
    double decodeSeconds = 0.0; // in engine seconds: slot time divided by the slots of an engine
    Time updated{};
  };

  Sums& Update(const ServiceName& aService, Time aNow);

  std::unordered_map<ServiceName, Sums> mSums;
};

} // namespace masticstep::dispatch
