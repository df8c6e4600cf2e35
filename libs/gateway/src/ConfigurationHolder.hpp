#pragma once

#include "masticstep/config/Configuration.hpp"

#include <memory>
#include <mutex>

namespace masticstep::gateway {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// The configuration in force. A request keeps the pointer that it began with, so that a change
// never affects running requests.
class ConfigurationHolder
{
public:
  // Returns null before the first configuration.
  ConfigurationPointer Current() const;
  // Puts a configuration in force, unless its generation is not newer. Returns whether it did.
  bool Apply(ConfigurationPointer aConfiguration);

private:
  mutable std::mutex mMutex;
  ConfigurationPointer mCurrent;
};

} // namespace masticstep::gateway
