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
// Returns false if the text names no role.
bool ReadRole(const std::string& aText, EngineRole& aRole);

// Share of a step that each role gives to prompts and to sequences.
struct RoleLimits
{
  std::uint32_t prefillTokens = 0; // prompt tokens of one step
  std::size_t sequences = 0;       // running sequences
};

RoleLimits LimitsOf(EngineRole aRole);

// Costs of one step and sizes. The target gives each engine 8 requests/s, 2,500 tokens/s and 67 ms
// between tokens, with 41% of the work in prompts; a full step of a mixed engine (128 sequences,
// 512 prompt tokens) lasts 66 ms with these costs.
struct EngineParameters
{
  Duration stepBase = Microseconds(12000);
  Duration stepPerSequence = Microseconds(220);
  Duration stepPerPromptToken = Microseconds(50);
  std::size_t blocks = 2000;
  std::size_t cacheBound = 1000;   // cached blocks that no sequence uses
  std::size_t waitingLimit = 1024; // requests that wait for the batch
  Duration roleChange = Seconds(3);
  Duration modelLoad = Seconds(5);
  double timeScale = 1.0; // model time that passes in one second
};

} // namespace masticstep::standins
