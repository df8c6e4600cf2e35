#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::standins {

// Faults that the proxy currently injects.
struct ProxyFaults
{
  Duration delay{};               // added before received data is forwarded
  bool refuseConnections = false; // close new connections immediately
  bool silentToTarget = false;    // hold data from the client until this is cleared
  bool silentToClient = false;    // hold data from the target until this is cleared
};

} // namespace masticstep::standins
