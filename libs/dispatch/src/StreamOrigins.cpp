#include "masticstep/dispatch/StreamOrigins.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Adds a stream to the group of its version.
void AddToGroup(std::vector<StreamGroup>& aGroups, const ServiceName& aService,
                const SoftwareVersion& aVersion, std::uint64_t aStream)
{
  std::vector<StreamGroup>::iterator it =
    std::find_if(aGroups.begin(), aGroups.end(), [&](const StreamGroup& aGroup) {
      return aGroup.service == aService && aGroup.version == aVersion;
    });
  if (it == aGroups.end()) {
    it = aGroups.insert(aGroups.end(), StreamGroup{ aService, aVersion, {} });
  }
  it->streams.push_back(aStream);
}

} // namespace

std::uint64_t StreamOrigins::StreamId(std::string_view aAttemptId)
{
  return Hash64(aAttemptId);
}

void StreamOrigins::OnBackends(const std::map<BackendServerName, Backend>& aBackends, Time aNow)
{
  if (!std::exchange(mIsStarted, true)) {
    mStartedAt = aNow;
  }
  std::map<ServiceName, std::set<SoftwareVersion>> inService;
  for (const auto& [id, backend] : aBackends) {
    inService[backend.service].insert(backend.softwareVersion);
  }
  for (auto& [name, service] : mServices) {
    const std::set<SoftwareVersion>& present = inService[name];
    for (auto& [version, state] : service.versions) {
      if (state.isInService && !present.contains(version)) {
        state = { false, aNow };
      }
    }
  }
  for (const auto& [name, versions] : inService) {
    for (const SoftwareVersion& version : versions) {
      mServices[name].versions[version] = { true, aNow };
    }
  }
  Expire(aNow);
}

void StreamOrigins::OnBegan(std::string_view aAttemptId, const ServiceName& aService,
                            const SoftwareVersion& aVersion, Time aNow)
{
  Expire(aNow);
  Service& service = mServices[aService];
  service.versions.try_emplace(aVersion, VersionState{ false, aNow });
  Add(service, StreamId(aAttemptId), { aVersion, aNow, true });
}

void StreamOrigins::Merge(const std::vector<StreamGroup>& aGroups, Time aNow)
{
  Expire(aNow);
  for (const StreamGroup& group : aGroups) {
    Service& service = mServices[group.service];
    // The other daemon may have seen a version before this one did.
    service.versions.try_emplace(group.version, VersionState{ false, aNow });
    for (const std::uint64_t stream : group.streams) {
      Add(service, stream, { group.version, aNow, false });
    }
  }
}

void StreamOrigins::OnHistoryRead(const std::vector<ServiceVersion>& aVersions, Time aNow)
{
  const bool wasComplete = IsHistoryComplete(aNow);
  for (const ServiceVersion& stored : aVersions) {
    std::map<SoftwareVersion, VersionState>& versions = mServices[stored.service].versions;
    const auto [it, isNew] = versions.try_emplace(stored.version, VersionState{});
    if (isNew || !wasComplete) {
      it->second.lastSeen = std::max(it->second.lastSeen, aNow - stored.idle);
    }
  }
  mIsHistoryRead = true;
}

void StreamOrigins::Add(Service& aService, std::uint64_t aStream, const Record& aRecord)
{
  if (!aService.records.try_emplace(aStream, aRecord).second) {
    return;
  }
  ++mStreamCount;
  aService.order.push_back(aStream);
  aService.unstored.push_back(aStream);
  if (aRecord.isOwn) {
    // Before records that are handed out again.
    aService.unsent.push_front({ aStream, kTimesSent });
  }
  if (aService.order.size() > kMaximumStreams) {
    Drop(aService);
    --mStreamCount;
  }
}

// Drops the oldest record.
void StreamOrigins::Drop(Service& aService)
{
  aService.records.erase(aService.order.front());
  aService.order.pop_front();
}

void StreamOrigins::Expire(Time aNow)
{
  for (auto& [name, service] : mServices) {
    while (!service.order.empty() &&
           service.records.at(service.order.front()).learnedAt + kStreamLifetime <= aNow) {
      Drop(service);
      --mStreamCount;
    }
    while (!service.unsent.empty() && !service.records.contains(service.unsent.front().stream)) {
      service.unsent.pop_front();
    }
    while (!service.unstored.empty() && !service.records.contains(service.unstored.front())) {
      service.unstored.pop_front();
    }
    std::erase_if(service.versions, [aNow](const auto& aItem) {
      return !aItem.second.isInService &&
             aItem.second.lastSeen + kStreamLifetime + kRecordMargin <= aNow;
    });
  }
}

std::size_t StreamOrigins::CountVersions(const Service& aService, Duration aTime, Time aNow)
{
  return static_cast<std::size_t>(
    std::count_if(aService.versions.begin(), aService.versions.end(), [&](const auto& aItem) {
      return aItem.second.isInService || aItem.second.lastSeen + aTime > aNow;
    }));
}

bool StreamOrigins::HasSeveralVersions(Time aNow) const
{
  return std::any_of(mServices.begin(), mServices.end(), [aNow](const auto& aItem) {
    return CountVersions(aItem.second, kStreamLifetime + kRecordMargin, aNow) > 1;
  });
}

bool StreamOrigins::IsHistoryComplete(Time aNow) const
{
  return mIsStarted && (mIsHistoryRead || mStartedAt + kStreamLifetime <= aNow);
}

StreamOrigin StreamOrigins::Find(std::string_view aAttemptId, const ServiceName& aService,
                                 Time aNow) const
{
  const std::map<ServiceName, Service>::const_iterator service = mServices.find(aService);
  if (service == mServices.end()) {
    return {};
  }
  const auto record = service->second.records.find(StreamId(aAttemptId));
  if (record != service->second.records.end()) {
    return { OriginKind::Known, record->second.version };
  }
  if (!IsHistoryComplete(aNow) || CountVersions(service->second, kStreamLifetime, aNow) != 1) {
    return {};
  }
  for (const auto& [version, state] : service->second.versions) {
    if (state.isInService || state.lastSeen + kStreamLifetime > aNow) {
      return { OriginKind::Unambiguous, version };
    }
  }
  return {};
}

std::vector<StreamGroup> StreamOrigins::TakeUnsent(std::size_t aMaximum, Time aNow)
{
  Expire(aNow);
  std::vector<StreamGroup> groups;
  std::size_t taken = 0;
  for (auto& [name, service] : mServices) {
    const std::size_t count = std::min(service.unsent.size(), aMaximum - taken);
    for (std::size_t i = 0; i < count; ++i) {
      Unsent item = service.unsent.front();
      service.unsent.pop_front();
      const auto record = service.records.find(item.stream);
      if (record == service.records.end()) {
        continue;
      }
      AddToGroup(groups, name, record->second.version, item.stream);
      ++taken;
      if (--item.times > 0) {
        service.unsent.push_back(item);
      }
    }
  }
  return groups;
}

void StreamOrigins::SendAgain(Time aNow)
{
  Expire(aNow);
  for (auto& [name, service] : mServices) {
    service.unsent.clear();
    for (const std::uint64_t stream : service.order) {
      if (service.records.at(stream).isOwn) {
        service.unsent.push_back({ stream, kTimesSent });
      }
    }
  }
}

std::vector<StreamGroup> StreamOrigins::TakeUnstored(std::size_t aMaximum, Time aNow)
{
  Expire(aNow);
  std::vector<StreamGroup> groups;
  std::size_t taken = 0;
  for (auto& [name, service] : mServices) {
    while (!service.unstored.empty() && taken < aMaximum) {
      const std::uint64_t stream = service.unstored.front();
      service.unstored.pop_front();
      const auto record = service.records.find(stream);
      if (record != service.records.end()) {
        AddToGroup(groups, name, record->second.version, stream);
        ++taken;
      }
    }
  }
  return groups;
}

std::vector<ServiceVersion> StreamOrigins::Versions(Time aNow) const
{
  std::vector<ServiceVersion> versions;
  for (const auto& [name, service] : mServices) {
    for (const auto& [version, state] : service.versions) {
      const Duration idle = state.isInService ? Duration::zero() : aNow - state.lastSeen;
      if (idle < kStreamLifetime) {
        versions.push_back({ name, version, idle });
      }
    }
  }
  return versions;
}

} // namespace masticstep::dispatch
