#include "masticstep/net/IntakeBudget.hpp"

#include <algorithm>

namespace masticstep::net {

namespace {

std::size_t BeyondGranted(std::size_t aBytes)
{
  return std::max(aBytes, IntakeBudget::kGrantedBytes) - IntakeBudget::kGrantedBytes;
}

} // namespace

IntakeBudget::IntakeBudget(std::size_t aBound)
  : mBound(aBound)
{
}

void IntakeBudget::SetBound(std::size_t aBound)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mBound = aBound;
}

std::size_t IntakeBudget::InUse() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mInUse;
}

IntakeBudget::Requests::iterator IntakeBudget::Largest(IntakeId aId, std::size_t aBytes, Time aNow)
{
  Requests::iterator largest = mRequests.end();
  for (auto it = mRequests.begin(); it != mRequests.end(); ++it) {
    const Request& request = it->second;
    const bool mayEnd = it->first != aId && !request.isWhole && !request.isEnding &&
                        request.bytes > aBytes && aNow >= request.begin + kProtectedTime;
    if (mayEnd && (largest == mRequests.end() || request.bytes > largest->second.bytes)) {
      largest = it;
    }
  }
  return largest;
}

bool IntakeBudget::TryResize(IntakeId aId, std::size_t aBytes, Time aNow)
{
  std::vector<IntakeId> ended;
  IntakePressure pressure;
  bool hasPressure = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Request& request = mRequests.try_emplace(aId, Request{ 0, aNow }).first->second;
    if (request.isEnding) {
      return false;
    }
    const std::size_t before = BeyondGranted(request.bytes);
    const std::size_t after = BeyondGranted(aBytes);
    const std::size_t more = after > before ? after - before : 0;
    while (mInUse + more > mBound && more > 0) {
      const auto largest = Largest(aId, aBytes, aNow);
      if (largest == mRequests.end()) {
        break;
      }
      // Its connection frees the bytes a moment later.
      mInUse -= BeyondGranted(largest->second.bytes);
      largest->second.bytes = 0;
      largest->second.isEnding = true;
      ended.push_back(largest->first);
    }
    const bool isGranted = more == 0 || mInUse + more <= mBound;
    hasPressure = !ended.empty() || !isGranted;
    pressure = { aBytes, mInUse, mBound, ended.size(), isGranted };
    if (isGranted) {
      mInUse = mInUse + after - before;
      request.bytes = aBytes;
    }
  }
  for (const IntakeId id : ended) {
    if (mOnEnd) {
      mOnEnd(id);
    }
  }
  if (hasPressure && mOnPressure) {
    mOnPressure(pressure);
  }
  return pressure.isGranted;
}

void IntakeBudget::SetWhole(IntakeId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mRequests.find(aId);
  if (found != mRequests.end()) {
    found->second.isWhole = true;
  }
}

void IntakeBudget::Release(IntakeId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mRequests.find(aId);
  if (found != mRequests.end()) {
    mInUse -= BeyondGranted(found->second.bytes);
    mRequests.erase(found);
  }
}

} // namespace masticstep::net
