#include "SourceCounter.hpp"

namespace masticstep::net {

SourceCounter::SourceCounter(std::size_t aLimit)
  : mLimit(aLimit)
{
}

bool SourceCounter::TryAdd(const std::string& aSource)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mCounts.find(aSource);
  if (found != mCounts.end() && found->second >= mLimit) {
    return false;
  }
  ++mCounts[aSource];
  ++mTotal;
  return true;
}

void SourceCounter::Remove(const std::string& aSource)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mCounts.find(aSource);
  if (found == mCounts.end()) {
    return;
  }
  --mTotal;
  if (--found->second == 0) {
    mCounts.erase(found);
  }
}

std::size_t SourceCounter::Total() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mTotal;
}

} // namespace masticstep::net
