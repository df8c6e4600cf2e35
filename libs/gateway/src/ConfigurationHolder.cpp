#include "ConfigurationHolder.hpp"

#include <utility>

namespace masticstep::gateway {

ConfigurationPointer ConfigurationHolder::Current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCurrent;
}

bool ConfigurationHolder::Apply(ConfigurationPointer aConfiguration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mCurrent && aConfiguration->Generation() <= mCurrent->Generation()) {
    return false;
  }
  mCurrent = std::move(aConfiguration);
  return true;
}

} // namespace masticstep::gateway
