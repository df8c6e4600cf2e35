#pragma once

#include "common/Address.hpp"

#include <cstddef>
#include <vector>

namespace masticstep::standins {

// Returns addresses for programs that this process starts. No other process takes them before these
// programs listen: they are on a loopback address of this process, and their ports lie below the
// range from which the kernel chooses ports of outgoing connections. Each call returns new ones.
std::vector<Address> ReserveAddresses(std::size_t aCount);

} // namespace masticstep::standins
