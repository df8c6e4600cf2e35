#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep::quarantine {

// Positions of a request as a whole, which counts as one more part that only its repeats share:
// with and without the caller that it came from.
constexpr std::uint32_t kRequestOfCaller = 0xfffffffe;
constexpr std::uint32_t kRequest = 0xffffffff;

// Part of a request that an engine was running when it crashed: a part of its prompt, or a digest
// of the whole request.
struct SuspectPart
{
  std::uint64_t id = 0;
  std::uint32_t position = 0; // within the prompt, from 0, or one of the above

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
