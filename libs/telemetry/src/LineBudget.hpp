#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::telemetry {

// Bounds the log lines of a process a second. Lines about failures have a reserve, so that many
// good requests do not push them out. Not thread-safe.
class LineBudget
{
public:
  explicit LineBudget(double aLinesPerSecond);

  bool Admit(bool aIsFailure, Time aNow);
  // Lines were not written for another reason.
  void OnDropped(std::uint64_t aLines) { mDropped += aLines; }
  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

private:
  const double mLinesPerSecond;
  double mTokens;
  Time mFilled{};
  std::uint64_t mDropped = 0;
};

} // namespace masticstep::telemetry
