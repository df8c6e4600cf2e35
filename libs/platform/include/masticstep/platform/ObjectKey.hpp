#pragma once

#include "masticstep/base/Identifier.hpp"

#include <compare>
#include <cstdint>
#include <ostream>

namespace masticstep::platform {

// Key of an object, such as "config/manifest".
using ObjectKey = Identifier<struct ObjectKeyTag>;

// Version of an object, and revision of the store. The platform never assigns the same version to a
// key twice within an era, not even after the object was deleted and recreated.
struct Version
{
  std::uint64_t value = 0;
  // Increases whenever the store is restored from an older copy of itself, after which it assigns
  // values again. 0 if the store does not tell.
  std::uint64_t era = 0;

  // A version of a later era is newer, whatever its value.
  constexpr std::strong_ordering operator<=>(const Version& aOther) const
  {
    const std::strong_ordering byEra = era <=> aOther.era;
    return byEra != 0 ? byEra : value <=> aOther.value;
  }
  bool operator==(const Version&) const = default;
};

inline std::ostream& operator<<(std::ostream& aStream, Version aVersion)
{
  return aStream << aVersion.value << " of era " << aVersion.era;
}

// Largest object body that the platform accepts.
constexpr std::size_t kMaximumObjectBytes = 1024 * 1024;

} // namespace masticstep::platform
