#include "engine_standin/EngineFaults.hpp"

#include "common/JsonFields.hpp"

namespace masticstep::standins {

void ApplyEngineFaults(const boost::json::object& aBody, EngineFaults& aFaults)
{
  aFaults.silent = BooleanField(aBody, "silent", aFaults.silent);
  aFaults.refusing = BooleanField(aBody, "refusing", aFaults.refusing);
  aFaults.crashInChange = BooleanField(aBody, "crash_in_change", aFaults.crashInChange);
  aFaults.failRequests = IntegerField(aBody, "fail_requests", aFaults.failRequests);
  aFaults.slowFactor = NumberField(aBody, "slow_factor", aFaults.slowFactor);
  aFaults.cacheEventDelay = Milliseconds(
    IntegerField(aBody, "cache_event_delay_ms", aFaults.cacheEventDelay / Milliseconds(1)));
  aFaults.cacheEventLoss = NumberField(aBody, "cache_event_loss", aFaults.cacheEventLoss);
  aFaults.loadLag =
    Milliseconds(IntegerField(aBody, "load_lag_ms", aFaults.loadLag / Milliseconds(1)));
}

} // namespace masticstep::standins
