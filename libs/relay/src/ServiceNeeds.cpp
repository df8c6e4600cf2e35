#include "ServiceNeeds.hpp"

namespace masticstep::relay {

dispatch::NeedByService ToNeeds(const std::vector<wire::ServiceNeed>& aNeeds)
{
  dispatch::NeedByService needs;
  for (const wire::ServiceNeed& need : aNeeds) {
    needs[need.service] = { need.prefillSeconds, need.slotSeconds, need.kvCacheSeconds,
                            need.transferSeconds };
  }
  return needs;
}

std::vector<wire::ServiceNeed> ToWire(const dispatch::NeedByService& aNeeds)
{
  std::vector<wire::ServiceNeed> needs;
  for (const auto& [service, need] : aNeeds) {
    needs.push_back({ service, need.prefillSeconds, need.slotSeconds, need.kvCacheSeconds,
                      need.transferSeconds });
  }
  return needs;
}

} // namespace masticstep::relay
