#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::dispatch {

// One part of a prompt. Leading parts may be shared between requests; the last one is specific to
// the request or its session.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// Model, size and parts of a completion request.
struct Prompt
{
  std::string model;
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumOutput = 0;
  std::vector<PromptPart> parts; // in prompt order

  bool operator==(const Prompt&) const = default;
};

// Returns the ids of the parts that other requests may share: all but the last one.
std::vector<std::uint64_t> SharedParts(const Prompt& aPrompt);

} // namespace masticstep::dispatch
