#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>

namespace masticstep::net {

// Bytes that a budget did not have.
struct RefusedBytes
{
  std::size_t wanted = 0;
  std::size_t inUse = 0;
  std::size_t bound = 0;

  bool operator==(const RefusedBytes&) const = default;
};

// Bound of the bytes that all answers of servers may keep in memory together. Safe to use from
// several threads.
class ByteBudget
{
public:
  // Called when the budget does not have the bytes that were asked for.
  using OnRefused = std::function<void(const RefusedBytes& aRefused)>;

  explicit ByteBudget(std::size_t aBound, OnRefused aOnRefused = nullptr);

  // Takes bytes, or none and returns false if the bound does not allow them.
  bool TryTake(std::size_t aBytes);
  void Return(std::size_t aBytes);
  std::size_t InUse() const { return mInUse; }
  std::size_t Bound() const { return mBound; }

private:
  const std::size_t mBound;
  const OnRefused mOnRefused;
  std::atomic<std::size_t> mInUse{ 0 };
};

// Bytes that one exchange keeps. The first kGrantedBytes are always allowed, so that ordinary
// answers do not fail because others use up the budget; only what exceeds them is taken from it.
class ByteCharge
{
public:
  // One read, and an ordinary head and event or body.
  static constexpr std::size_t kGrantedBytes = 32768;

  // Without a budget, all sizes are allowed.
  explicit ByteCharge(std::shared_ptr<ByteBudget> aBudget);
  ~ByteCharge();
  ByteCharge(const ByteCharge&) = delete;
  ByteCharge& operator=(const ByteCharge&) = delete;

  // Sets what is kept. Returns false and changes nothing if the budget does not allow it; a smaller
  // size than before is always allowed.
  bool TryResize(std::size_t aBytes);
  std::size_t Bytes() const { return mBytes; }

private:
  const std::shared_ptr<ByteBudget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace masticstep::net
