#pragma once

#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticstep::platform {

// Number of calls that reached the platform, by kind.
struct PlatformCounters
{
  std::uint64_t reads = 0; // reads, listings and watches
  std::uint64_t writes = 0;
  std::uint64_t deletes = 0;

  auto operator<=>(const PlatformCounters&) const = default;
};

// Model of the platform's object store without time or transport. It is copyable, so that a state
// space explorer can copy it at every step.
class InMemoryPlatform
{
public:
  struct Object
  {
    Version version;
    std::string body;

    auto operator<=>(const Object&) const = default;
  };
  using Objects = std::map<ObjectKey, Object>;

  // Applies a call immediately. A watch returns the changes so far and does not wait.
  PlatformReply Apply(const PlatformRequest& aRequest);

  // Goes back to the state of an earlier copy, in a new era: later versions are assigned again.
  void RestoreFrom(const InMemoryPlatform& aCopy);
  std::uint64_t Era() const { return mEra; }

  // Makes every later call fail with Refused until the outage ends.
  void SetOutage(bool aOutage) { mOutage = aOutage; }
  bool HasOutage() const { return mOutage; }

  const Objects& All() const { return mObjects; }
  const Object* Find(const ObjectKey& aKey) const;
  const PlatformCounters& Counters() const { return mCounters; }

private:
  PlatformReply Read(const ReadRequest& aCall) const;
  PlatformReply Write(const ConditionalWrite& aCall);
  PlatformReply Delete(const ConditionalDelete& aCall);
  PlatformReply List(const ListRequest& aCall) const;
  PlatformReply Watch(const WatchRequest& aCall) const;

  Objects mObjects;
  std::map<ObjectKey, Version> mDeleted; // version of each deletion, for watches
  std::uint64_t mRevision = 0;
  std::uint64_t mEra = 0;
  PlatformCounters mCounters;
  bool mOutage = false;
};

} // namespace masticstep::platform
