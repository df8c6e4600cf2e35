#pragma once

#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"

namespace masticstep {

// Read an address or URL member and report a fault if it is not one. They return a default value
// after a fault.
SocketAddress ReadAddress(ObjectReader& aReader, std::string_view aKey);
HttpUrl ReadUrl(ObjectReader& aReader, std::string_view aKey);

// Reads an integer number of milliseconds.
Duration ReadMilliseconds(ObjectReader& aReader, std::string_view aKey, IntegerRange aRange,
                          Duration aDefault);

} // namespace masticstep
