#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace masticstep {

// Configuration generation with all its contents.
struct ConfigurationBundle
{
  std::uint64_t generation = 0;
  std::string manifest;                                               // as published
  std::map<std::string, std::shared_ptr<const std::string>> contents; // by SHA-256 digest

  bool operator==(const ConfigurationBundle&) const = default;
};

} // namespace masticstep
