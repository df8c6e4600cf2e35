#include "masticstep/dispatch/StageDemand.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// Longer than the swings of a mix within some seconds, which no change of stage could follow.
constexpr Duration kMemory = Seconds(12);
constexpr double kLeastSeconds = 3.0;
// Answers need more room than reading: a pause between two tokens is late as soon as an engine is
// nearly full, while a prompt may wait for some time.
constexpr double kAnswerWeight = 1.5;

double Fade(Duration aAge)
{
  return std::exp(-ToSeconds(aAge) / ToSeconds(kMemory));
}

} // namespace

StageDemand::Sums& StageDemand::Update(const ServiceName& aService, Time aNow)
{
  Sums& sums = mSums[aService];
  const double fade = Fade(aNow - sums.updated);
  sums.readSeconds *= fade;
  sums.answerSeconds *= fade;
  sums.updated = aNow;
  return sums;
}

void StageDemand::OnRead(const ServiceName& aService, Duration aRead, Time aNow)
{
  Update(aService, aNow).readSeconds += ToSeconds(aRead);
}

void StageDemand::OnAnswer(const ServiceName& aService, Duration aHeld, std::uint32_t aSlots,
                           Time aNow)
{
  Update(aService, aNow).answerSeconds += ToSeconds(aHeld) / std::max(1U, aSlots);
}

std::optional<double> StageDemand::AnswerShare(const ServiceName& aService, Time aNow) const
{
  const auto found = mSums.find(aService);
  if (found == mSums.end()) {
    return std::nullopt;
  }
  const double fade = Fade(aNow - found->second.updated);
  const double reading = found->second.readSeconds * fade;
  const double answering = found->second.answerSeconds * fade;
  if (reading + answering < kLeastSeconds) {
    return std::nullopt;
  }
  return kAnswerWeight * answering / (kAnswerWeight * answering + reading);
}

} // namespace masticstep::dispatch
