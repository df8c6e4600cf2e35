#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Backend.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// Backend servers by the platform's list. While the platform's store is away, entries of live
// backend servers may lapse; such a removal is held back for a grace time after the store's return,
// within which a live backend server enters itself again.
class BackendDirectory
{
public:
  // A backend server whose entry is missing for longer than this after the store's return is gone.
  static constexpr Duration kReregistrationGrace = Milliseconds(2000);

  // The whole list was read.
  void Replace(std::vector<Backend> aBackends, Time aNow);
  void Set(Backend aBackend);
  // The entry was removed.
  void Remove(const BackendServerName& aId, Time aNow);

  // The store no longer answers, or answers again.
  void OnStoreLost();
  void OnStoreRecovered(Time aNow);

  // Drops held backend servers whose grace time has passed. Returns whether any was dropped.
  bool RemoveExpired(Time aNow);
  std::optional<Time> NextWakeUp() const;

  const std::map<BackendServerName, Backend>& Backends() const { return mBackends; }
  // Returns whether a list was ever read.
  bool IsLoaded() const { return mIsLoaded; }

private:
  bool MayReregister(Time aNow) const;

  std::map<BackendServerName, Backend> mBackends;
  std::map<BackendServerName, Time> mPendingRemovals; // to be dropped at the time
  std::optional<Time> mStoreRecoveredAt;              // when the store came back after an outage
  bool mIsStoreLost = false;
  bool mIsLoaded = false;
};

} // namespace masticstep::dispatch
