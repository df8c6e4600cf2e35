#pragma once

#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"

namespace masticstep {

// Read a required address or URL. They report a fault and return a default value if it is missing
// or invalid.
SocketAddress ReadAddress(ObjectReader& aReader, std::string_view aKey);
HttpUrl ReadUrl(ObjectReader& aReader, std::string_view aKey);

// Reads an optional duration that is given as an integer number of milliseconds.
Duration ReadMilliseconds(ObjectReader& aReader, std::string_view aKey, IntegerRange aRange,
                          Duration aDefault);

} // namespace masticstep
