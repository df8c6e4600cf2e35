#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace masticstep::net {

// Number of one connection of a caller.
using IntakeId = std::uint64_t;

// A request for bytes that the budget could only grant by ending others, or not at all.
struct IntakePressure
{
  std::size_t wanted = 0;
  std::size_t inUse = 0;
  std::size_t bound = 0;
  std::size_t ended = 0; // requests that are ended to make room
  bool isGranted = false;

  bool operator==(const IntakePressure&) const = default;
};

// Bound of what the requests of all callers together may keep in memory, from their first byte
// until they are answered. The first kGrantedBytes of each are always allowed, so that small
// requests do not fail because large ones use the budget up. Beyond them, a request that needs room
// is granted it at the cost of the largest one that is not whole, is larger than itself, and has
// been arriving for a while: a caller that fills the memory and stops loses it first. Without such
// a request, the one that needs room is refused. Safe to use from several threads.
class IntakeBudget
{
public:
  // One read, and an ordinary head.
  static constexpr std::size_t kGrantedBytes = 8192;
  // A request that has begun to arrive later than this is not ended for others.
  static constexpr Duration kProtectedTime = Seconds(1);

  using OnEnd = std::function<void(IntakeId)>;
  using OnPressure = std::function<void(const IntakePressure&)>;

  explicit IntakeBudget(std::size_t aBound);

  // Sets the function that ends a request. Called without a lock held.
  void SetOnEnd(OnEnd aOnEnd) { mOnEnd = std::move(aOnEnd); }
  // Sets the function that hears of requests that found no room.
  void SetOnPressure(OnPressure aOnPressure) { mOnPressure = std::move(aOnPressure); }
  void SetBound(std::size_t aBound);

  // Sets what a request keeps. Returns false and changes nothing if there is no room.
  bool TryResize(IntakeId aId, std::size_t aBytes, Time aNow);
  // The request has arrived whole; it is no longer ended for others.
  void SetWhole(IntakeId aId);
  // The request was answered or refused.
  void Release(IntakeId aId);
  std::size_t InUse() const;

private:
  struct Request
  {
    std::size_t bytes = 0;
    Time begin;
    bool isWhole = false;
    bool isEnding = false;
  };
  using Requests = std::map<IntakeId, Request>;

  // Returns the request to end for one that keeps aBytes, or none.
  Requests::iterator Largest(IntakeId aId, std::size_t aBytes, Time aNow);

  mutable std::mutex mMutex;
  std::size_t mBound;
  std::size_t mInUse = 0; // beyond the granted bytes
  Requests mRequests;
  OnEnd mOnEnd;
  OnPressure mOnPressure;
};

} // namespace masticstep::net
