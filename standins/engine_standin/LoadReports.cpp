#include "engine_standin/LoadReports.hpp"

namespace masticstep::standins {

namespace {

constexpr std::size_t kMaxSnapshots = 400; // 20 s at one snapshot per 50 ms

} // namespace

void LoadReports::Append(LoadSnapshot aSnapshot)
{
  aSnapshot.sequence = ++mLast;
  mSnapshots.push_back(std::move(aSnapshot));
  if (mSnapshots.size() > kMaxSnapshots) {
    mSnapshots.pop_front();
  }
}

LoadSnapshot LoadReports::Read(Time aNow, Duration aLag) const
{
  LoadSnapshot found = mSnapshots.empty() ? LoadSnapshot{} : mSnapshots.front();
  for (const LoadSnapshot& snapshot : mSnapshots) {
    if (snapshot.takenAt + aLag > aNow) {
      break;
    }
    found = snapshot;
  }
  return found;
}

} // namespace masticstep::standins
