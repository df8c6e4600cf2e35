#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <optional>
#include <unordered_map>

namespace masticstep::dispatch {

// Measures how the work for a service divides between reading prompts and writing answers, by the
// requests of this daemon.
class StageDemand
{
public:
  // An engine read for this time.
  void OnPrefill(const ServiceName& aService, Duration aPrefillTime, Time aNow);
  // An engine with this many slots wrote an answer for this time, in one of them.
  void OnDecode(const ServiceName& aService, Duration aSlotTime, std::uint32_t aSlots, Time aNow);

  // Returns the part of the engines that should write answers, so that both kinds are equally busy;
  // nothing until enough was measured.
  std::optional<double> DecodeShare(const ServiceName& aService, Time aNow) const;

private:
  struct Sums
  {
    double prefillSeconds = 0.0;
    double decodeSeconds = 0.0; // of whole engines
    Time updated{};
  };

  Sums& Update(const ServiceName& aService, Time aNow);

  std::unordered_map<ServiceName, Sums> mSums;
};

} // namespace masticstep::dispatch
