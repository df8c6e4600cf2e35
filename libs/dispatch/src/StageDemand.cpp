#include "masticstep/dispatch/StageDemand.hpp"

#include "masticstep/dispatch/DecodeShare.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Longer than swings of the request mix within some seconds, which are too fast to follow by
// changing stages.
constexpr Duration kTimeConstant = Seconds(12);
constexpr double kMinimumMeasuredSeconds = 3.0;
// The first seconds of traffic are not representative: caches are empty and only short answers have
// ended.
constexpr Duration kWarmUpTime = Seconds(8);
// Several times the interval of the reports, since datagrams are lost at times.
constexpr Duration kPeerExpiry = Seconds(5);
// Answers in a large batch slow each other down, so engines with many slots need headroom. With few
// slots they hardly do, and an answer waits for any one of them, where a prompt waits for the whole
// engine: such engines may be busier than those for prefill.
constexpr double kLargeBatchWeight = 1.3;
constexpr double kBatchWeightSlots = 7.0;
constexpr double kMinimumSlotWeight = 0.5;

double DecayFactor(Duration aAge)
{
  return std::exp(-std::max(0.0, ToSeconds(aAge)) / ToSeconds(kTimeConstant));
}

// Engine time that a decoded answer needs per second in one of the engine's slots.
double SlotNeed(std::uint32_t aSlots)
{
  const double slots = EffectiveSlots(aSlots);
  const double weight = std::max(kMinimumSlotWeight, kLargeBatchWeight - kBatchWeightSlots / slots);
  return weight / slots;
}

} // namespace

double StageNeed::DecodeSeconds() const
{
  return std::max({ slotSeconds, kvCacheSeconds, transferSeconds });
}

StageNeed StageNeed::Scaled(double aFactor) const
{
  return { aFactor * prefillSeconds, aFactor * slotSeconds, aFactor * kvCacheSeconds,
           aFactor * transferSeconds };
}

StageNeed& StageNeed::operator+=(const StageNeed& aOther)
{
  prefillSeconds += aOther.prefillSeconds;
  slotSeconds += aOther.slotSeconds;
  kvCacheSeconds += aOther.kvCacheSeconds;
  transferSeconds += aOther.transferSeconds;
  return *this;
}

double StageDemand::LocalService::DecodeSecondsPerToken() const
{
  return decodedTokens > 0.0 ? decodedSeconds / decodedTokens : 0.0;
}

StageDemand::LocalService& StageDemand::UpdateLocal(const ServiceName& aService, Time aNow)
{
  LocalService& local = mLocal[aService];
  const double decay = DecayFactor(aNow - local.updated);
  local.need = local.need.Scaled(decay);
  local.decodedSeconds *= decay;
  local.decodedTokens *= decay;
  local.updated = aNow;
  return local;
}

void StageDemand::OnStart(const ServiceName& aService, const StartedPrompt& aPrompt,
                          const EngineTraits& aEngine, Time aNow)
{
  LocalService& local = UpdateLocal(aService, aNow);
  mFirstStart = mFirstStart.value_or(aNow);
  const double decodeSeconds = aPrompt.maximumOutput * local.DecodeSecondsPerToken();
  const double kvTokens = std::max<std::uint64_t>(aEngine.kvTokens, 1);
  local.need.prefillSeconds += ToSeconds(aPrompt.prefillTime);
  local.need.slotSeconds += decodeSeconds * SlotNeed(aEngine.slots);
  local.need.kvCacheSeconds += decodeSeconds * aPrompt.promptTokens / kvTokens;
  local.need.transferSeconds += aEngine.TransferSeconds(aPrompt.promptTokens);
}

void StageDemand::OnDecoded(const ServiceName& aService, Duration aSlotTime,
                            std::uint32_t aMaximumOutput, Time aNow)
{
  LocalService& local = UpdateLocal(aService, aNow);
  local.decodedSeconds += ToSeconds(aSlotTime);
  local.decodedTokens += std::max(1U, aMaximumOutput);
}

void StageDemand::OnPeerNeed(const HostName& aHost, NeedByService aNeed, Time aNow)
{
  std::erase_if(mPeers,
                [aNow](const auto& aItem) { return aItem.second.receivedAt + kPeerExpiry < aNow; });
  mPeers[aHost] = { std::move(aNeed), aNow };
}

NeedByService StageDemand::LocalNeed(Time aNow) const
{
  NeedByService all;
  for (const auto& [service, local] : mLocal) {
    all[service] = local.need.Scaled(DecayFactor(aNow - local.updated));
  }
  return all;
}

NeedByService StageDemand::TotalNeeds(Time aNow) const
{
  NeedByService total = LocalNeed(aNow);
  for (const auto& [host, report] : mPeers) {
    if (report.receivedAt + kPeerExpiry < aNow) {
      continue;
    }
    for (const auto& [service, need] : report.need) {
      total[service] += need.Scaled(DecayFactor(aNow - report.receivedAt));
    }
  }
  return total;
}

StageNeed StageDemand::TotalNeed(const ServiceName& aService, Time aNow) const
{
  return TotalNeeds(aNow)[aService];
}

std::optional<double> StageDemand::BusyEngines(const StageNeed& aNeed, Time aNow) const
{
  if (!mFirstStart || aNow < *mFirstStart + kWarmUpTime) {
    return std::nullopt;
  }
  // The sums approach the time constant times the engines that are busy.
  const double summedSeconds = ToSeconds(kTimeConstant) * (1.0 - DecayFactor(aNow - *mFirstStart));
  return (aNeed.prefillSeconds + aNeed.DecodeSeconds()) / summedSeconds;
}

std::optional<double> StageDemand::DecodeShare(const ServiceName& aService, Time aNow) const
{
  const StageNeed need = TotalNeed(aService, aNow);
  const double decode = need.DecodeSeconds();
  if (!mFirstStart || aNow < *mFirstStart + kWarmUpTime) {
    return std::nullopt;
  }
  if (need.prefillSeconds + decode < kMinimumMeasuredSeconds) {
    return std::nullopt;
  }
  return decode / (decode + need.prefillSeconds);
}

} // namespace masticstep::dispatch
