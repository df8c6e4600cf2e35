#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/ScalingTraits.hpp"
#include "masticstep/scaling/EngineOrder.hpp"
#include "masticstep/scaling/EngineSupply.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticstep::scaling {

// Why the number of engines wanted was last changed.
enum class PlanReason : std::uint8_t
{
  KeepsCapacity, // the demand is not known yet
  DemandRose,
  DemandFell
};

std::string_view ToString(PlanReason aReason);

// Plans the engines of one service over all data centres, so that the requests are served at the
// lowest price.
//
// Interruptible engines bear the load where they are cheaper. The platform may take away all of
// them in one data centre at once, so those of the others suffice for the demand; a reserved engine
// in each data centre remains in any case. Where none are to be had, the other data centres make up
// for it, and then reserved engines. The demand of the last wave counts, not that of the moment,
// and less is ordered only after it has been lower for some time: engines that leave take their
// caches along.
class EnginePlanner
{
public:
  EnginePlanner(ServiceName aService, dispatch::ScalingTraits aTraits);

  // Engines wanted in one data centre.
  struct Wanted
  {
    std::uint32_t reserved = 0;
    std::uint32_t interruptible = 0;

    bool operator==(const Wanted&) const = default;
  };

  void SetTraits(dispatch::ScalingTraits aTraits) { mTraits = std::move(aTraits); }
  // Returns the order to give next, if any. aDemand is the number of engines that the requests keep
  // busy; nothing while it is not known.
  std::optional<EngineOrder> Next(const SupplyByDataCentre& aSupply, std::optional<double> aDemand,
                                  Time aNow);
  void OnOutcome(const EngineOrder& aOrder, OrderOutcome aOutcome, Time aNow);
  // Returns the wanted engines of each data centre as of the latest plan.
  const std::map<DataCentreName, Wanted>& Plan() const { return mPlan; }
  PlanReason Reason() const { return mReason; }
  // Returns the price of the supply for a second.
  double PricePerSecond(const SupplyByDataCentre& aSupply) const;

private:
  struct Subject
  {
    std::optional<std::uint32_t> ordered; // latest count that was accepted
    Time orderedAt{};
    Time nextTry{};
    Time unavailableUntil{};
  };
  using SubjectKey = std::pair<DataCentreName, EngineKind>;

  void UpdateShare(const SupplyByDataCentre& aSupply, std::optional<double> aDemand, Time aNow);
  void UpdatePlan(Time aNow);
  bool IsInterruptibleAvailable(const DataCentreName& aDataCentre, Time aNow) const;
  std::optional<EngineOrder> OrderFor(const DataCentreName& aDataCentre, EngineKind aKind,
                                      std::uint32_t aWanted, std::uint32_t aPresent, Time aNow);

  const ServiceName mService;
  dispatch::ScalingTraits mTraits;
  std::map<SubjectKey, Subject> mSubjects;
  std::map<DataCentreName, Wanted> mPlan;
  std::optional<Time> mBegin;
  std::uint32_t mShare = 0; // engines wanted in each data centre
  bool mHasOrdered = false;
  double mPeakDemand = 0.0;
  Time mPeakAt{};
  std::optional<Time> mLowerSince; // the demand has allowed fewer engines since then
  PlanReason mReason = PlanReason::KeepsCapacity;
};

} // namespace masticstep::scaling
