#pragma once

#include "masticstep/config/Configuration.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/publication/InForceReport.hpp"

#include <memory>
#include <optional>

namespace masticstep {

// Reads published state for a command, one blocking call at a time. The store must answer on
// another thread.
class StoreReader
{
public:
  explicit StoreReader(platform::ObjectStore& aStore)
    : mStore(aStore)
  {
  }

  // Returns the published configuration, or null if it cannot be read now.
  std::shared_ptr<const Configuration> ReadConfiguration();
  // Returns a data centre's report, or nothing if there is none or it cannot be read now.
  std::optional<publication::InForceReport> ReadInForce(const DataCentreName& aDataCentre);

private:
  std::optional<std::string> Read(platform::ObjectKey aKey);

  platform::ObjectStore& mStore;
  std::uint64_t mNumber = 0;
};

} // namespace masticstep
