#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::quarantine {

// Part of a prompt that an engine was answering when it crashed.
struct SuspectPart
{
  std::uint64_t id = 0;
  std::uint32_t position = 0; // within the prompt, from 0

  bool operator==(const SuspectPart&) const = default;
};

// Crash of one process of an engine.
struct EngineCrash
{
  std::string process; // names the engine and its start, alike on all daemons
  Time at{};
  std::vector<SuspectPart> suspects;

  bool operator==(const EngineCrash&) const = default;
};

} // namespace masticstep::quarantine
