#include "OriginSlots.hpp"

#include <algorithm>

namespace masticstep::relay {

using dispatch::StreamGroup;

static_assert(OriginSlots::kSlotTime * (OriginSlots::kSlots - 1) >=
              dispatch::StreamOrigins::kStreamLifetime);

namespace {

void Append(std::vector<StreamGroup>& aGroups, const StreamGroup& aGroup)
{
  const std::vector<StreamGroup>::iterator it =
    std::find_if(aGroups.begin(), aGroups.end(), [&aGroup](const StreamGroup& aOther) {
      return aOther.service == aGroup.service && aOther.version == aGroup.version;
    });
  if (it == aGroups.end()) {
    aGroups.push_back(aGroup);
    return;
  }
  it->streams.insert(it->streams.end(), aGroup.streams.begin(), aGroup.streams.end());
}

} // namespace

void OriginSlots::Advance(Time aNow)
{
  const Slot& current = mSlots.at(mCurrent);
  const bool isComplete = aNow >= mCurrentSince + kSlotTime || current.streams >= kMaximumStreams;
  // Records that the store lacks stay in the slot that is written first.
  if (!isComplete || current.isDirty) {
    return;
  }
  mCurrent = (mCurrent + 1) % kSlots;
  mCurrentSince = aNow;
  mSlots.at(mCurrent) = {};
}

std::optional<std::size_t> OriginSlots::Fill(dispatch::StreamOrigins& aOrigins, Time aNow)
{
  Advance(aNow);
  Slot& current = mSlots.at(mCurrent);
  const std::vector<StreamGroup> added =
    aOrigins.TakeUnstored(kMaximumStreams - current.streams, aNow);
  for (const StreamGroup& group : added) {
    Append(current.groups, group);
    current.streams += group.streams.size();
    current.isDirty = true;
  }
  for (std::size_t age = 0; age < kSlots; ++age) {
    const std::size_t slot = (mCurrent + kSlots - age) % kSlots;
    if (mSlots.at(slot).isDirty) {
      return slot;
    }
  }
  return std::nullopt;
}

void OriginSlots::WriteAgain()
{
  for (Slot& slot : mSlots) {
    slot.isDirty = slot.streams > 0;
  }
}

} // namespace masticstep::relay
