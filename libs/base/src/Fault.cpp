#include "masticstep/base/Fault.hpp"

namespace masticstep {

std::string ToString(const Fault& aFault)
{
  std::string text = aFault.file + ": " + aFault.path + ": " + aFault.problem;
  if (!aFault.allowed.empty()) {
    text += " (allowed: " + aFault.allowed + ")";
  }
  return text;
}

} // namespace masticstep
