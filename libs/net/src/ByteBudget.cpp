#include "masticstep/net/ByteBudget.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::net {

namespace {

// Returns the part of a charge that is taken from the budget.
std::size_t BeyondGranted(std::size_t aBytes)
{
  return std::max(aBytes, ByteCharge::kGrantedBytes) - ByteCharge::kGrantedBytes;
}

} // namespace

ByteBudget::ByteBudget(std::size_t aBound, OnRefused aOnRefused)
  : mBound(aBound)
  , mOnRefused(std::move(aOnRefused))
{
}

bool ByteBudget::TryTake(std::size_t aBytes)
{
  std::size_t inUse = mInUse;
  do {
    if (inUse > mBound || aBytes > mBound - inUse) {
      if (mOnRefused) {
        mOnRefused({ aBytes, inUse, mBound });
      }
      return false;
    }
  } while (!mInUse.compare_exchange_weak(inUse, inUse + aBytes));
  return true;
}

void ByteBudget::Return(std::size_t aBytes)
{
  mInUse -= aBytes;
}

ByteCharge::ByteCharge(std::shared_ptr<ByteBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

ByteCharge::~ByteCharge()
{
  TryResize(0);
}

bool ByteCharge::TryResize(std::size_t aBytes)
{
  const std::size_t before = BeyondGranted(mBytes);
  const std::size_t after = BeyondGranted(aBytes);
  if (mBudget && after > before && !mBudget->TryTake(after - before)) {
    return false;
  }
  if (mBudget && after < before) {
    mBudget->Return(before - after);
  }
  mBytes = aBytes;
  return true;
}

} // namespace masticstep::net
