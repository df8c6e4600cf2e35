#include "masticstep/dispatch/Prompt.hpp"

namespace masticstep::dispatch {

std::vector<std::uint64_t> SharedParts(const Prompt& aPrompt)
{
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i + 1 < aPrompt.parts.size(); ++i) {
    ids.push_back(aPrompt.parts[i].id);
  }
  return ids;
}

} // namespace masticstep::dispatch
