#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::standins {

struct ProxyFaults
{
  Duration delay{};            // before passing on what was read
  bool refuses = false;        // new connections are closed at once
  bool silentToTarget = false; // bytes are held until this is off
  bool silentToClient = false;
};

} // namespace masticstep::standins
