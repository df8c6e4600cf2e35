#include "masticstep/platform/InMemoryPlatform.hpp"

#include <algorithm>

namespace masticstep::platform {

namespace {

PlatformReply Status(PlatformStatus aStatus)
{
  PlatformReply reply;
  reply.status = aStatus;
  return reply;
}

void Count(const PlatformCall& aCall, PlatformCounters& aCounters)
{
  if (std::holds_alternative<ConditionalWrite>(aCall)) {
    ++aCounters.writes;
  } else if (std::holds_alternative<ConditionalDelete>(aCall)) {
    ++aCounters.deletes;
  } else {
    ++aCounters.reads;
  }
}

} // namespace

PlatformReply InMemoryPlatform::Apply(const PlatformRequest& aRequest)
{
  Count(aRequest.call, mCounters);
  PlatformReply reply = Status(PlatformStatus::Refused);
  if (!mOutage) {
    if (const auto* read = std::get_if<ReadRequest>(&aRequest.call)) {
      reply = Read(*read);
    } else if (const auto* write = std::get_if<ConditionalWrite>(&aRequest.call)) {
      reply = Write(*write);
    } else if (const auto* remove = std::get_if<ConditionalDelete>(&aRequest.call)) {
      reply = Delete(*remove);
    } else if (const auto* list = std::get_if<ListRequest>(&aRequest.call)) {
      reply = List(*list);
    } else {
      reply = Watch(std::get<WatchRequest>(aRequest.call));
    }
  }
  reply.number = aRequest.number;
  reply.era = mEra;
  if (reply.version) {
    reply.version->era = mEra;
  }
  for (ObjectChange& item : reply.items) {
    item.version.era = mEra;
  }
  return reply;
}

void InMemoryPlatform::RestoreFrom(const InMemoryPlatform& aCopy)
{
  mObjects = aCopy.mObjects;
  mDeleted = aCopy.mDeleted;
  mRevision = aCopy.mRevision;
  ++mEra;
}

const InMemoryPlatform::Object* InMemoryPlatform::Find(const ObjectKey& aKey) const
{
  const Objects::const_iterator it = mObjects.find(aKey);
  return it == mObjects.end() ? nullptr : &it->second;
}

PlatformReply InMemoryPlatform::Read(const ReadRequest& aCall) const
{
  const Object* object = Find(aCall.key);
  if (object == nullptr) {
    return Status(PlatformStatus::NotFound);
  }
  PlatformReply reply = Status(PlatformStatus::Done);
  reply.version = object->version;
  reply.body = object->body;
  return reply;
}

PlatformReply InMemoryPlatform::Write(const ConditionalWrite& aCall)
{
  if (aCall.body.size() > kMaximumObjectBytes) {
    return Status(PlatformStatus::TooLarge);
  }
  const Object* object = Find(aCall.key);
  const bool matches = aCall.expected
                         ? object != nullptr && object->version.value == aCall.expected->value
                         : object == nullptr;
  if (!matches) {
    return Status(PlatformStatus::Conflict);
  }
  const Version version{ ++mRevision };
  mObjects[aCall.key] = { version, aCall.body };
  mDeleted.erase(aCall.key);
  PlatformReply reply = Status(PlatformStatus::Done);
  reply.version = version;
  return reply;
}

PlatformReply InMemoryPlatform::Delete(const ConditionalDelete& aCall)
{
  const Object* object = Find(aCall.key);
  if (object == nullptr) {
    return Status(PlatformStatus::NotFound);
  }
  // Like the platform, which is not told the era of the expected version.
  if (object->version.value != aCall.expected.value) {
    return Status(PlatformStatus::Conflict);
  }
  mObjects.erase(aCall.key);
  mDeleted[aCall.key] = Version{ ++mRevision };
  return Status(PlatformStatus::Done);
}

PlatformReply InMemoryPlatform::List(const ListRequest& aCall) const
{
  PlatformReply reply = Status(PlatformStatus::Done);
  reply.revision = mRevision;
  for (const Objects::value_type& item : mObjects) {
    if (item.first.Text().starts_with(aCall.prefix)) {
      reply.items.push_back({ item.first, item.second.version, false });
    }
  }
  return reply;
}

PlatformReply InMemoryPlatform::Watch(const WatchRequest& aCall) const
{
  PlatformReply reply = List({ aCall.prefix });
  std::erase_if(reply.items, [&aCall](const ObjectChange& aChange) {
    return aChange.version.value <= aCall.afterRevision;
  });
  for (const std::pair<const ObjectKey, Version>& item : mDeleted) {
    if (item.first.Text().starts_with(aCall.prefix) && item.second.value > aCall.afterRevision) {
      reply.items.push_back({ item.first, item.second, true });
    }
  }
  return reply;
}

} // namespace masticstep::platform
