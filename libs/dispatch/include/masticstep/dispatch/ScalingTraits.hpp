#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>

namespace masticstep::dispatch {

// Terms on which the platform provides engines of a service.
struct ScalingTraits
{
  // Bounds of the number of engines in each data centre, of both kinds together.
  std::uint32_t minimum = 0;
  std::uint32_t maximum = 0;
  Duration bootTime = Seconds(5); // from an order until the engine serves
  // Price of an interruptible engine as a share of that of a reserved one.
  double interruptiblePrice = 1.0;
  std::map<DataCentreName, double> prices; // of a reserved engine for a second

  bool operator==(const ScalingTraits&) const = default;
};

} // namespace masticstep::dispatch
