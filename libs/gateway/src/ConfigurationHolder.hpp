#pragma once

#include "masticstep/config/Configuration.hpp"

#include <memory>
#include <mutex>

namespace masticstep::gateway {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// Holds the configuration in force. A request keeps the snapshot that it started with, so a change
// never affects running requests.
class ConfigurationHolder
{
public:
  // Returns null until a configuration has been applied.
  ConfigurationPointer Current() const;
  // Puts the configuration in force if its generation is newer. Returns whether it did.
  bool Apply(ConfigurationPointer aConfiguration);

private:
  mutable std::mutex mMutex;
  ConfigurationPointer mCurrent;
};

} // namespace masticstep::gateway
