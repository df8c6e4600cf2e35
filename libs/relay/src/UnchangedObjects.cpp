#include "UnchangedObjects.hpp"

namespace masticstep::relay {

void UnchangedObjects::OnListed(const std::vector<platform::ObjectChange>& aObjects, Time aNow)
{
  std::map<platform::ObjectKey, Object> listed;
  for (const platform::ObjectChange& object : aObjects) {
    const std::map<platform::ObjectKey, Object>::const_iterator before = mObjects.find(object.key);
    const bool isUnchanged = before != mObjects.end() && before->second.version == object.version;
    listed[object.key] = { object.version, isUnchanged ? before->second.since : aNow };
  }
  mObjects = std::move(listed);
}

std::vector<std::pair<platform::ObjectKey, platform::Version>> UnchangedObjects::Find(
  const std::string& aLocalPrefix, Time aNow) const
{
  std::vector<std::pair<platform::ObjectKey, platform::Version>> unchanged;
  for (const auto& [key, object] : mObjects) {
    const bool isLocal = key.Text().starts_with(aLocalPrefix);
    if (aNow >= object.since + (isLocal ? kTime : kTimeElsewhere)) {
      unchanged.emplace_back(key, object.version);
    }
  }
  return unchanged;
}

} // namespace masticstep::relay
