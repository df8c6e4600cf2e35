#include "masticstep/dispatch/BackendDirectory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep::dispatch {

bool BackendDirectory::MayReturn(Time aNow) const
{
  return mIsStoreLost || (mStoreBack && aNow < *mStoreBack + kReturnGrace);
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
  mIsKnown = true;
}

void BackendDirectory::Set(Backend aBackend)
{
  mHeld.erase(aBackend.id);
  // An address belongs to one backend server; an older holder of it is gone.
  std::erase_if(mBackends, [&aBackend, this](const auto& aEntry) {
    const bool isReplaced = aEntry.first != aBackend.id &&
                            aEntry.second.address == aBackend.address &&
                            aEntry.second.born <= aBackend.born;
    if (isReplaced) {
      mHeld.erase(aEntry.first);
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
  // A draining backend server does not enter itself again.
  if (MayReturn(aNow) && !found->second.isDraining) {
    const Time back = mStoreBack && !mIsStoreLost ? *mStoreBack : aNow;
    mHeld.try_emplace(aId, back + kReturnGrace);
    return;
  }
  mBackends.erase(found);
  mHeld.erase(aId);
}

void BackendDirectory::OnStoreLost()
{
  mIsStoreLost = true;
}

void BackendDirectory::OnStoreBack(Time aNow)
{
  if (!mIsStoreLost) {
    return;
  }
  mIsStoreLost = false;
  mStoreBack = aNow;
}

bool BackendDirectory::OnTime(Time aNow)
{
  bool isChanged = false;
  for (auto it = mHeld.begin(); it != mHeld.end();) {
    if (it->second > aNow) {
      ++it;
      continue;
    }
    mBackends.erase(it->first);
    it = mHeld.erase(it);
    isChanged = true;
  }
  return isChanged;
}

std::optional<Time> BackendDirectory::NextWakeUp() const
{
  std::optional<Time> next;
  for (const auto& [id, time] : mHeld) {
    next = next ? std::min(*next, time) : time;
  }
  return next;
}

} // namespace masticstep::dispatch
