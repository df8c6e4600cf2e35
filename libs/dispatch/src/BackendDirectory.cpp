#include "masticstep/dispatch/BackendDirectory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep::dispatch {

namespace {

// A copy from which the store is restored is younger than this.
constexpr Duration kDepartureMemory = Seconds(600);

} // namespace

bool BackendDirectory::IsRestoring(Time aNow) const
{
  return mRestoredAt && aNow < *mRestoredAt + mEntryLifetime + kReregistrationGrace;
}

bool BackendDirectory::IsDoubtful(const Backend& aBackend, Time aNow) const
{
  if (!IsRestoring(aNow)) {
    return false;
  }
  const auto departed = mDeparted.find(aBackend.id);
  const bool isOfDeparted = departed != mDeparted.end() && departed->second.at < *mRestoredAt &&
                            aBackend.startedAtMs <= departed->second.startedAtMs;
  const auto known = mBackends.find(aBackend.id);
  const bool isOfEarlierProcess =
    known != mBackends.end() && aBackend.startedAtMs < known->second.startedAtMs;
  return isOfDeparted || isOfEarlierProcess;
}

bool BackendDirectory::MayReregister(Time aNow) const
{
  return mIsStoreLost || (mStoreRecoveredAt && aNow < *mStoreRecoveredAt + kReregistrationGrace);
}

void BackendDirectory::Replace(std::vector<Backend> aBackends, Time aNow)
{
  std::set<BackendServerName> listed;
  for (Backend& backend : aBackends) {
    listed.insert(backend.id);
    if (IsDoubtful(backend, aNow)) {
      mDoubtful[backend.id] = std::move(backend);
    } else {
      Set(std::move(backend), aNow);
    }
  }
  std::erase_if(mDoubtful, [&listed](const auto& aItem) { return !listed.contains(aItem.first); });
  std::vector<BackendServerName> missing;
  for (const auto& [id, backend] : mBackends) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const BackendServerName& id : missing) {
    Remove(id, aNow);
  }
  mIsLoaded = true;
}

void BackendDirectory::Set(Backend aBackend, Time aNow)
{
  mPendingRemovals.erase(aBackend.id);
  mDeparted.erase(aBackend.id);
  mDoubtful.erase(aBackend.id);
  ApplyAnnouncement(aBackend);
  const auto known = mBackends.find(aBackend.id);
  // Without a start time, a restarted server looks like the same process.
  const bool mayBeSameProcess = aBackend.startedAtMs != 0 || IsRestoring(aNow);
  if (known != mBackends.end() && mayBeSameProcess &&
      known->second.startedAtMs == aBackend.startedAtMs) {
    aBackend.isDraining = aBackend.isDraining || known->second.isDraining;
  }
  // An address identifies one running backend server, so an earlier server at it is gone.
  std::erase_if(mBackends, [&aBackend, aNow, this](const auto& aEntry) {
    const bool isReplaced = aEntry.first != aBackend.id &&
                            aEntry.second.address == aBackend.address &&
                            aEntry.second.startedAtMs <= aBackend.startedAtMs;
    if (isReplaced) {
      mPendingRemovals.erase(aEntry.first);
      mDeparted[aEntry.first] = { aEntry.second.startedAtMs, aNow };
    }
    return isReplaced;
  });
  mBackends[aBackend.id] = std::move(aBackend);
}

void BackendDirectory::Erase(const BackendServerName& aId, Time aNow)
{
  const auto found = mBackends.find(aId);
  if (found != mBackends.end()) {
    mDeparted[aId] = { found->second.startedAtMs, aNow };
    mBackends.erase(found);
  }
}

void BackendDirectory::Remove(const BackendServerName& aId, Time aNow)
{
  mDoubtful.erase(aId);
  const auto found = mBackends.find(aId);
  if (found == mBackends.end()) {
    return;
  }
  // A draining backend server does not register again.
  if (MayReregister(aNow) && !found->second.isDraining) {
    const Time recoveredAt = mStoreRecoveredAt && !mIsStoreLost ? *mStoreRecoveredAt : aNow;
    mPendingRemovals.try_emplace(aId, recoveredAt + kReregistrationGrace);
    return;
  }
  // Without a start time, the next entry under this id may be that of a new process.
  if (found->second.startedAtMs == 0 && !MayReregister(aNow)) {
    mAnnouncements.erase(aId);
  }
  Erase(aId, aNow);
  mPendingRemovals.erase(aId);
}

bool BackendDirectory::OnLeavingAnnounced(const BackendServerName& aId, std::int64_t aStartedAtMs,
                                          Time aNow)
{
  const auto found = mBackends.find(aId);
  if (found != mBackends.end() && found->second.startedAtMs > aStartedAtMs) {
    return false; // from an earlier process
  }
  const bool wasDraining = found != mBackends.end() && found->second.isDraining;
  Announcement& announcement =
    mAnnouncements.try_emplace(aId, Announcement{ aStartedAtMs, aNow, wasDraining }).first->second;
  announcement.startedAtMs = std::max(announcement.startedAtMs, aStartedAtMs);
  announcement.at = aNow;
  if (found == mBackends.end() || wasDraining) {
    return false;
  }
  found->second.isDraining = true;
  return true;
}

void BackendDirectory::ApplyAnnouncement(Backend& aBackend)
{
  const auto found = mAnnouncements.find(aBackend.id);
  if (found == mAnnouncements.end()) {
    return;
  }
  if (aBackend.startedAtMs > found->second.startedAtMs) {
    mAnnouncements.erase(found);
    return;
  }
  found->second.isEntryDraining = found->second.isEntryDraining || aBackend.isDraining;
  aBackend.isDraining = true;
}

bool BackendDirectory::EndAnnouncements(Time aNow)
{
  bool isChanged = false;
  for (auto it = mAnnouncements.begin(); it != mAnnouncements.end();) {
    if (MayReregister(aNow) || IsRestoring(aNow)) {
      it->second.at = aNow;
    }
    if (aNow < it->second.at + kAnnouncementLifetime) {
      ++it;
      continue;
    }
    const auto backend = mBackends.find(it->first);
    if (backend != mBackends.end() && !it->second.isEntryDraining) {
      backend->second.isDraining = false;
      isChanged = true;
    }
    it = mAnnouncements.erase(it);
  }
  return isChanged;
}

void BackendDirectory::OnStoreLost()
{
  mIsStoreLost = true;
}

void BackendDirectory::OnStoreRecovered(Time aNow)
{
  if (!mIsStoreLost) {
    return;
  }
  mIsStoreLost = false;
  mStoreRecoveredAt = aNow;
}

void BackendDirectory::OnStoreRestored(Time aNow)
{
  mIsStoreLost = false;
  mStoreRecoveredAt = aNow;
  mRestoredAt = aNow;
}

bool BackendDirectory::RemoveExpired(Time aNow)
{
  bool isChanged = EndAnnouncements(aNow);
  for (auto it = mPendingRemovals.begin(); it != mPendingRemovals.end();) {
    if (it->second > aNow) {
      ++it;
      continue;
    }
    Erase(it->first, aNow);
    it = mPendingRemovals.erase(it);
    isChanged = true;
  }
  std::erase_if(mDeparted,
                [aNow](const auto& aItem) { return aItem.second.at + kDepartureMemory < aNow; });
  if (!IsRestoring(aNow)) {
    for (auto& [id, backend] : std::exchange(mDoubtful, {})) {
      Set(std::move(backend), aNow);
      isChanged = true;
    }
  }
  return isChanged;
}

std::optional<Time> BackendDirectory::NextWakeUp() const
{
  std::optional<Time> next;
  for (const auto& [id, time] : mPendingRemovals) {
    next = next ? std::min(*next, time) : time;
  }
  return next;
}

} // namespace masticstep::dispatch
