#include "platform_standin/ObjectTable.hpp"

namespace masticstep::standins {

std::optional<StoredObject> ObjectTable::Read(const std::string& aKey) const
{
  const std::map<std::string, StoredObject>::const_iterator it = mObjects.find(aKey);
  if (it == mObjects.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool ObjectTable::IsSatisfied(const std::string& aKey, const WriteCondition& aCondition) const
{
  const std::map<std::string, StoredObject>::const_iterator it = mObjects.find(aKey);
  if (aCondition.mustBeAbsent) {
    return it == mObjects.end();
  }
  if (aCondition.version) {
    return it != mObjects.end() && it->second.version == *aCondition.version;
  }
  return true;
}

std::optional<std::uint64_t> ObjectTable::Write(const std::string& aKey, std::string aBody,
                                                const WriteCondition& aCondition)
{
  if (!IsSatisfied(aKey, aCondition)) {
    return std::nullopt;
  }
  mObjects[aKey] = { std::move(aBody), ++mRevision };
  mDeletions.erase(aKey);
  return mRevision;
}

std::optional<std::uint64_t> ObjectTable::Delete(const std::string& aKey,
                                                 const WriteCondition& aCondition)
{
  if (!mObjects.contains(aKey) || !IsSatisfied(aKey, aCondition)) {
    return std::nullopt;
  }
  mObjects.erase(aKey);
  mDeletions[aKey] = ++mRevision;
  return mRevision;
}

std::vector<ListedObject> ObjectTable::List(const std::string& aPrefix) const
{
  std::vector<ListedObject> items;
  std::map<std::string, StoredObject>::const_iterator it = mObjects.lower_bound(aPrefix);
  for (; it != mObjects.end() && it->first.starts_with(aPrefix); ++it) {
    items.push_back({ it->first, it->second.version, false });
  }
  return items;
}

std::vector<ListedObject> ObjectTable::ChangesAfter(const std::string& aPrefix,
                                                    std::uint64_t aRevision) const
{
  std::vector<ListedObject> items;
  for (ListedObject& item : List(aPrefix)) {
    if (item.version > aRevision) {
      items.push_back(std::move(item));
    }
  }
  std::map<std::string, std::uint64_t>::const_iterator it = mDeletions.lower_bound(aPrefix);
  for (; it != mDeletions.end() && it->first.starts_with(aPrefix); ++it) {
    if (it->second > aRevision) {
      items.push_back({ it->first, it->second, true });
    }
  }
  return items;
}

} // namespace masticstep::standins
