#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::standins {

struct StoredObject
{
  std::string body;
  std::uint64_t version = 0;
};

struct ListedObject
{
  std::string key;
  std::uint64_t version = 0;
  bool isDeleted = false;
};

// Precondition of a write: a matching version, absence of the key, or none.
struct WriteCondition
{
  std::optional<std::uint64_t> version;
  bool mustBeAbsent = false;
};

// Versioned key-value store. The version of an object is the table revision of its last write, so a
// key that is deleted and created again never reuses a version.
class ObjectTable
{
public:
  std::optional<StoredObject> Read(const std::string& aKey) const;
  // Returns the new version, or nullopt if the precondition is not met.
  std::optional<std::uint64_t> Write(const std::string& aKey, std::string aBody,
                                     const WriteCondition& aCondition);
  // Returns the revision of the deletion, or nullopt if the key is absent or the precondition is
  // not met.
  std::optional<std::uint64_t> Delete(const std::string& aKey, const WriteCondition& aCondition);
  std::vector<ListedObject> List(const std::string& aPrefix) const;
  // Returns the latest change of each key that was written or deleted after the revision.
  std::vector<ListedObject> ChangesAfter(const std::string& aPrefix, std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return mRevision; }
  std::size_t Count() const { return mObjects.size(); }

private:
  bool IsSatisfied(const std::string& aKey, const WriteCondition& aCondition) const;

  std::map<std::string, StoredObject> mObjects;
  std::map<std::string, std::uint64_t> mDeletions; // revision of the deletion by key
  std::uint64_t mRevision = 0;
};

} // namespace masticstep::standins
