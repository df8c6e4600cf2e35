#include "masticstep/scaling/EnginePlanner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep::scaling {

namespace {

// Engines wanted for each one that requests keep busy. A long prompt occupies an engine for most of
// the time in which its answer is due, so a prompt must rarely find its engines busy.
constexpr double kHeadroom = 3.0;
// Longer than the waves of the demand, whose peaks are planned for.
constexpr Duration kPeakTime = Seconds(30);
// Fewer engines are ordered only if at least this part is not needed, for this long.
constexpr double kMinimumDecrease = 0.15;
constexpr Duration kDecreaseDelay = Seconds(30);
// From the beginning of a term until the engines that are there are known.
constexpr Duration kSettleTime = Seconds(3);
// In each data centre; one that interruptible engines do not replace.
constexpr std::uint32_t kReservedFloor = 1;
constexpr Duration kUnavailableTime = Seconds(4); // until a data centre is asked again
constexpr Duration kRetryPause = Seconds(1);      // after a call without an answer
// Engines may register a little later than the platform says.
constexpr Duration kBootSlack = Milliseconds(2500);

// While one kind replaces the other, both are present and only one of them counts.
std::uint32_t CapacityOf(const EngineSupply& aSupply)
{
  const bool isReplacing = std::min(aSupply.reserved, aSupply.interruptible) > kReservedFloor;
  return isReplacing ? std::max(aSupply.reserved, aSupply.interruptible) : aSupply.Total();
}

std::uint32_t DivideUp(double aNumber, std::size_t aParts)
{
  return static_cast<std::uint32_t>(std::ceil(aNumber / static_cast<double>(aParts)));
}

} // namespace

std::string_view ToString(EngineKind aKind)
{
  return aKind == EngineKind::Reserved ? "reserved" : "interruptible";
}

std::string_view ToString(PlanReason aReason)
{
  switch (aReason) {
    case PlanReason::KeepsCapacity:
      return "demand not known yet";
    case PlanReason::DemandRose:
      return "demand rose";
    case PlanReason::DemandFell:
      return "demand fell";
  }
  return "";
}

EnginePlanner::EnginePlanner(ServiceName aService, dispatch::ScalingTraits aTraits)
  : mService(std::move(aService))
  , mTraits(std::move(aTraits))
{
}

void EnginePlanner::UpdateShare(const SupplyByDataCentre& aSupply, std::optional<double> aDemand,
                                Time aNow)
{
  const std::size_t count = mTraits.prices.size();
  if (!aDemand || !mHasOrdered) {
    // Engines register one after the other, so the most counts that were seen.
    std::uint32_t present = 0;
    for (const auto& [dataCentre, supply] : aSupply) {
      present += CapacityOf(supply);
    }
    mShare = std::max(mShare, DivideUp(present, count));
  }
  if (!aDemand) {
    return;
  }
  if (*aDemand >= mPeakDemand || aNow >= mPeakAt + kPeakTime) {
    mPeakDemand = *aDemand;
    mPeakAt = aNow;
  }
  // One data centre may be lost, so the others share the capacity.
  const std::uint32_t wanted =
    DivideUp(kHeadroom * mPeakDemand, std::max<std::size_t>(count, 2) - 1);
  if (wanted > mShare) {
    mReason = PlanReason::DemandRose;
    mShare = wanted;
  }
  if (wanted > (1.0 - kMinimumDecrease) * mShare) {
    mLowerSince.reset();
    return;
  }
  mLowerSince = mLowerSince.value_or(aNow);
  if (aNow >= *mLowerSince + kDecreaseDelay) {
    mReason = PlanReason::DemandFell;
    mShare = wanted;
    mLowerSince.reset();
  }
}

bool EnginePlanner::IsInterruptibleAvailable(const DataCentreName& aDataCentre, Time aNow) const
{
  const auto found = mSubjects.find({ aDataCentre, EngineKind::Interruptible });
  return found == mSubjects.end() || found->second.unavailableUntil <= aNow;
}

void EnginePlanner::UpdatePlan(Time aNow)
{
  const std::size_t count = mTraits.prices.size();
  std::size_t available = 0;
  for (const auto& [dataCentre, price] : mTraits.prices) {
    available += IsInterruptibleAvailable(dataCentre, aNow) ? 1 : 0;
  }
  const bool usesInterruptible = mTraits.interruptiblePrice < 1.0;
  // The loss of one data centre is planned for; those that are left make up for further ones.
  std::uint32_t share = mShare;
  if (usesInterruptible && available + 1 < count && available > 0) {
    share = std::max(share, DivideUp(kHeadroom * mPeakDemand, available));
  }
  const std::uint32_t total = std::clamp(share, mTraits.minimum, mTraits.maximum);
  // Without any interruptible engines to be had, the reserved ones bear the load.
  const bool isShort = usesInterruptible && available == 0;
  mPlan.clear();
  for (const auto& [dataCentre, price] : mTraits.prices) {
    if (!usesInterruptible || isShort) {
      mPlan[dataCentre] = { total, 0 };
      continue;
    }
    const std::uint32_t reserved = std::min(kReservedFloor, total);
    mPlan[dataCentre] = { reserved, total - reserved };
  }
}

std::optional<EngineOrder> EnginePlanner::OrderFor(const DataCentreName& aDataCentre,
                                                   EngineKind aKind, std::uint32_t aWanted,
                                                   std::uint32_t aPresent, Time aNow)
{
  Subject& subject = mSubjects[{ aDataCentre, aKind }];
  // What a predecessor ordered shows in what is present.
  const std::uint32_t ordered = subject.ordered.value_or(aPresent);
  const bool hasBooted = aNow >= subject.orderedAt + mTraits.bootTime + kBootSlack;
  const bool isMissing = subject.ordered && aPresent < aWanted && hasBooted;
  if (aNow < subject.nextTry || (ordered == aWanted && !isMissing)) {
    return std::nullopt;
  }
  // Until the outcome is known.
  subject.nextTry = aNow + kRetryPause;
  return EngineOrder{ mService, aDataCentre, aKind, aWanted };
}

std::optional<EngineOrder> EnginePlanner::Next(const SupplyByDataCentre& aSupply,
                                               std::optional<double> aDemand, Time aNow)
{
  if (mTraits.prices.empty()) {
    return std::nullopt;
  }
  mBegin = mBegin.value_or(aNow);
  UpdateShare(aSupply, aDemand, aNow);
  UpdatePlan(aNow);
  if (aNow < *mBegin + kSettleTime) {
    return std::nullopt;
  }
  for (const auto& [dataCentre, wanted] : mPlan) {
    const auto found = aSupply.find(dataCentre);
    const EngineSupply present = found == aSupply.end() ? EngineSupply{} : found->second;
    // Both kinds together must stay within the maximum while one replaces the other.
    const std::uint32_t room = mTraits.maximum - std::min(mTraits.maximum, present.reserved);
    const std::uint32_t interruptible = std::min(wanted.interruptible, room);
    if (IsInterruptibleAvailable(dataCentre, aNow)) {
      std::optional<EngineOrder> order =
        OrderFor(dataCentre, EngineKind::Interruptible, interruptible, present.interruptible, aNow);
      if (order) {
        return order;
      }
    }
    // Reserved engines leave once others serve in their place.
    const bool isReplaced = present.interruptible >= interruptible;
    const std::uint32_t reserved =
      isReplaced ? wanted.reserved : std::max(wanted.reserved, present.reserved);
    std::optional<EngineOrder> order =
      OrderFor(dataCentre, EngineKind::Reserved, reserved, present.reserved, aNow);
    if (order) {
      return order;
    }
  }
  return std::nullopt;
}

void EnginePlanner::OnOutcome(const EngineOrder& aOrder, OrderOutcome aOutcome, Time aNow)
{
  Subject& subject = mSubjects[{ aOrder.dataCentre, aOrder.kind }];
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      mHasOrdered = true;
      subject.ordered = aOrder.count;
      subject.orderedAt = aNow;
      subject.nextTry = aNow;
      break;
    case OrderOutcome::NoneAvailable:
      subject.unavailableUntil = aNow + kUnavailableTime;
      subject.nextTry = aNow + kUnavailableTime;
      break;
    case OrderOutcome::Superseded:
    case OrderOutcome::Unknown:
      subject.nextTry = aNow + kRetryPause;
      break;
  }
}

double EnginePlanner::PricePerSecond(const SupplyByDataCentre& aSupply) const
{
  double price = 0.0;
  for (const auto& [dataCentre, supply] : aSupply) {
    const auto found = mTraits.prices.find(dataCentre);
    const double reserved = found == mTraits.prices.end() ? 0.0 : found->second;
    price += reserved * (supply.reserved + mTraits.interruptiblePrice * supply.interruptible);
  }
  return price;
}

} // namespace masticstep::scaling
