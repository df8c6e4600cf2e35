#pragma once

#include <cstddef>

namespace masticstep::bench {

// Allocations of the whole program so far, and the bytes that are allocated at present.
std::size_t Allocations();
std::size_t AllocatedBytes();

} // namespace masticstep::bench
