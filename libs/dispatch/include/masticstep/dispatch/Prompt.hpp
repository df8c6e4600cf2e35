#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::dispatch {

// One part of a prompt. Requests share parts; the last one belongs to the request or its session.
struct PromptPart
{
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const PromptPart&) const = default;
};

// Size and parts of a request to a model.
struct Prompt
{
  std::string model;
  std::uint32_t promptTokens = 0;
  std::uint32_t maximumOutput = 0;
  std::vector<PromptPart> parts; // in order

  bool operator==(const Prompt&) const = default;
};

} // namespace masticstep::dispatch
