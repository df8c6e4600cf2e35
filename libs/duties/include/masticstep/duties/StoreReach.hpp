#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::duties {

// Whether the platform's store answers this process, judged by the calls of the process. A call
// that fails or gets no answer counts as long as no other call has been answered since.
//
// Performs no I/O. Times passed in must not decrease.
class StoreReach
{
public:
  // Many times the usual answer time of the store. Callers that resume a stream wait about twice as
  // long for its record.
  static constexpr Duration kMaximumSilence = Milliseconds(300);

  // Must be called when a call is sent that the store answers at once, so not for a watch.
  void OnSent(Time aNow);
  // Must be called when the store has answered a call. A refusal for overload or an outage is no
  // answer.
  void OnAnswered(Time aNow);
  bool IsLost(Time aNow) const;
  // Counts how often the store has answered again after it was lost.
  std::uint64_t Recoveries() const { return mRecoveries; }

private:
  std::optional<Time> mUnansweredSince; // first call since the latest answer
  std::uint64_t mRecoveries = 0;
};

} // namespace masticstep::duties
