#pragma once

#include <compare>
#include <string>
#include <vector>

namespace masticstep {

// One thing wrong in an input file.
struct Fault
{
  std::string file;
  std::string path;    // JSON path such as $.classes[0].priority
  std::string problem; // what is wrong
  std::string allowed; // what would be accepted; may be empty

  auto operator<=>(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

// Formats a fault as "FILE: PATH: PROBLEM (allowed: ALLOWED)".
std::string ToString(const Fault& aFault);

} // namespace masticstep
