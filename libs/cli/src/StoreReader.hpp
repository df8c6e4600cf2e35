#pragma once

#include "masticstep/config/Configuration.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/publication/InForceReport.hpp"

#include <memory>
#include <optional>

namespace masticstep {

// Reads published state for a command with blocking calls, one at a time. The store must invoke its
// callbacks on another thread, because the calling thread waits for them.
class StoreReader
{
public:
  explicit StoreReader(platform::ObjectStore& aStore)
    : mStore(aStore)
  {
  }

  // Returns the published configuration, or null if it cannot currently be read.
  std::shared_ptr<const Configuration> ReadConfiguration();
  // Returns the report of a data centre, or nullopt if there is none or it cannot currently be
  // read.
  std::optional<publication::InForceReport> ReadInForce(const DataCentreName& aDataCentre);

private:
  std::optional<std::string> ReadObject(platform::ObjectKey aKey);

  platform::ObjectStore& mStore;
  std::uint64_t mLastRequestNumber = 0;
};

} // namespace masticstep
