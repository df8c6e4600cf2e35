#include "masticstep/dispatch/BackendDirectory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep::dispatch {

bool BackendDirectory::MayReregister(Time aNow) const
{
  return mIsStoreLost || (mStoreRecoveredAt && aNow < *mStoreRecoveredAt + kReregistrationGrace);
}

void BackendDirectory::Replace(std::vector<Backend> aBackends, Time aNow)
{
  std::set<BackendServerName> listed;
  for (Backend& backend : aBackends) {
    listed.insert(backend.id);
    Set(std::move(backend));
  }
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

void BackendDirectory::Set(Backend aBackend)
{
  mPendingRemovals.erase(aBackend.id);
  // An address identifies one running backend server, so an earlier server at it is gone.
  std::erase_if(mBackends, [&aBackend, this](const auto& aEntry) {
    const bool isReplaced = aEntry.first != aBackend.id &&
                            aEntry.second.address == aBackend.address &&
                            aEntry.second.startedAtMs <= aBackend.startedAtMs;
    if (isReplaced) {
      mPendingRemovals.erase(aEntry.first);
    }
    return isReplaced;
  });
  mBackends[aBackend.id] = std::move(aBackend);
}

void BackendDirectory::Remove(const BackendServerName& aId, Time aNow)
{
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
  mBackends.erase(found);
  mPendingRemovals.erase(aId);
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

bool BackendDirectory::RemoveExpired(Time aNow)
{
  bool isChanged = false;
  for (auto it = mPendingRemovals.begin(); it != mPendingRemovals.end();) {
    if (it->second > aNow) {
      ++it;
      continue;
    }
    mBackends.erase(it->first);
    it = mPendingRemovals.erase(it);
    isChanged = true;
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
