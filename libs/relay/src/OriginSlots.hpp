#pragma once

#include "masticstep/dispatch/StreamOrigins.hpp"

#include <array>
#include <optional>
#include <vector>

namespace masticstep::relay {

// Divides the records of streams that a store poller keeps in the store among a ring of objects, so
// that a write of new records repeats only those of the last seconds. The object of the oldest slot
// is overwritten when its records are older than the longest life of a stream.
//
// Performs no I/O.
class OriginSlots
{
public:
  static constexpr std::size_t kSlots = 17;
  static constexpr Duration kSlotTime = Seconds(2);
  // 160 KB at 16 digits a stream.
  static constexpr std::size_t kMaximumStreams = 10000;

  // Moves the records that are not stored yet to the slots. Returns the slot whose object must be
  // written next.
  std::optional<std::size_t> Fill(dispatch::StreamOrigins& aOrigins, Time aNow);
  const std::vector<dispatch::StreamGroup>& Groups(std::size_t aSlot) const
  {
    return mSlots.at(aSlot).groups;
  }
  void OnWritten(std::size_t aSlot) { mSlots.at(aSlot).isDirty = false; }
  // Lets all objects be written again, for example to a store that may have lost them.
  void WriteAgain();

private:
  struct Slot
  {
    std::vector<dispatch::StreamGroup> groups;
    std::size_t streams = 0;
    bool isDirty = false; // the object in the store lacks records
  };

  void Advance(Time aNow);

  std::array<Slot, kSlots> mSlots;
  std::size_t mCurrent = 0;
  Time mCurrentSince{};
};

} // namespace masticstep::relay
