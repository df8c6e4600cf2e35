#pragma once

#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace masticstep::standins {

enum class EngineRole
{
  Mixed,
  Prefill,
  Decode,
};

std::string ToString(EngineRole aRole);
// Returns false and leaves aRole unchanged if the text is not the name of a role.
bool ParseRole(const std::string& aText, EngineRole& aRole);

// Limits on the work of one step, by role.
struct RoleLimits
{
  std::uint32_t prefillTokens = 0; // prompt tokens per step
  std::size_t sequences = 0;       // running sequences
};

RoleLimits LimitsOf(EngineRole aRole);

// Cost model and sizes of an engine. The target per engine is 8 requests/s, 2,500 tokens/s and 67
// ms between tokens, with 41% of the work in prompts. With these costs, a full step of a mixed
// engine (128 sequences, 512 prompt tokens) lasts 66 ms.
struct EngineParameters
{
  Duration stepBase = Microseconds(12000);
  Duration stepPerSequence = Microseconds(220);
  Duration stepPerPromptToken = Microseconds(50);
  std::size_t blocks = 2000;
  std::size_t cachedBlockLimit = 1000; // maximum number of unpinned cached blocks
  std::size_t waitingLimit = 1024;     // maximum number of waiting requests
  Duration roleChange = Seconds(3);
  Duration modelLoad = Seconds(5);
  double timeScale = 1.0; // simulated seconds per second of real time
};

} // namespace masticstep::standins
