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

// Condition of a write: a version, absence, or none.
struct WriteCondition
{
  std::optional<std::uint64_t> version;
  bool mustBeAbsent = false;
};

// Objects with versions. A version is the revision of the table at the write, so a key that is
// deleted and made anew never repeats one.
class ObjectTable
{
public:
  std::optional<StoredObject> Read(const std::string& aKey) const;
  // Returns the new version, or nothing if the condition does not hold.
  std::optional<std::uint64_t> Write(const std::string& aKey, std::string aBody,
                                     const WriteCondition& aCondition);
  std::optional<std::uint64_t> Delete(const std::string& aKey, const WriteCondition& aCondition);
  std::vector<ListedObject> List(const std::string& aPrefix) const;
  // Returns the keys changed after the revision, each with its newest change.
  std::vector<ListedObject> ChangesAfter(const std::string& aPrefix, std::uint64_t aRevision) const;

  std::uint64_t Revision() const { return mRevision; }
  std::size_t Count() const { return mObjects.size(); }

private:
  bool Holds(const std::string& aKey, const WriteCondition& aCondition) const;

  std::map<std::string, StoredObject> mObjects;
  std::map<std::string, std::uint64_t> mDeletions; // key to revision of its deletion
  std::uint64_t mRevision = 0;
};

} // namespace masticstep::standins
