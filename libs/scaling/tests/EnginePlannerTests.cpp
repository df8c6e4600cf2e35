#include "masticstep/scaling/EnginePlanner.hpp"

#include "masticstep/testing/Test.hpp"

#include <cmath>
#include <functional>

using namespace masticstep;
using namespace masticstep::scaling;

namespace {

const ServiceName kService{ "reader" };

Time At(double aSeconds)
{
  return Time{ Seconds(1000) } + FromSeconds(aSeconds);
}

DataCentreName Centre(int aNumber)
{
  return DataCentreName{ "dc" + std::to_string(aNumber) };
}

dispatch::ScalingTraits Traits(int aCentres, double aInterruptiblePrice)
{
  dispatch::ScalingTraits traits{ 1, 30, Seconds(4), aInterruptiblePrice, {} };
  for (int i = 0; i < aCentres; ++i) {
    traits.prices[Centre(i)] = 1.0;
  }
  return traits;
}

// A platform that provides the engines that are ordered after the boot time, and may take the
// interruptible ones of a data centre away.
class Platform
{
public:
  explicit Platform(int aCentres, std::uint32_t aPresent)
  {
    for (int i = 0; i < aCentres; ++i) {
      mSupply[Centre(i)].reserved = aPresent;
    }
  }

  OrderOutcome OnOrder(const EngineOrder& aOrder, Time aNow)
  {
    ++mOrders;
    const bool isInterruptible = aOrder.kind == EngineKind::Interruptible;
    if (isInterruptible && aOrder.dataCentre == mReclaimed && aNow < mReclaimedUntil) {
      return OrderOutcome::NoneAvailable;
    }
    EngineSupply& supply = mSupply[aOrder.dataCentre];
    std::uint32_t& present = isInterruptible ? supply.interruptible : supply.reserved;
    if (aOrder.count <= present) {
      present = aOrder.count;
    } else {
      mBooting.push_back({ aOrder, aNow + Seconds(4) });
    }
    return OrderOutcome::Accepted;
  }
  void Reclaim(const DataCentreName& aCentre, Time aUntil)
  {
    mReclaimed = aCentre;
    mReclaimedUntil = aUntil;
    mSupply[aCentre].interruptible = 0;
  }
  void OnTime(Time aNow)
  {
    for (const auto& [order, ready] : mBooting) {
      if (ready <= aNow) {
        EngineSupply& supply = mSupply[order.dataCentre];
        (order.kind == EngineKind::Interruptible ? supply.interruptible : supply.reserved) =
          order.count;
      }
    }
    std::erase_if(mBooting, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  }
  const SupplyByDataCentre& Supply() const { return mSupply; }
  std::uint32_t Total() const
  {
    std::uint32_t total = 0;
    for (const auto& [centre, supply] : mSupply) {
      total += supply.Total();
    }
    return total;
  }
  int Orders() const { return mOrders; }

private:
  SupplyByDataCentre mSupply;
  std::vector<std::pair<EngineOrder, Time>> mBooting;
  DataCentreName mReclaimed;
  Time mReclaimedUntil{};
  int mOrders = 0;
};

// Plays the planner against the platform. Returns the fewest engines present.
std::uint32_t Play(EnginePlanner& aPlanner, Platform& aPlatform, double aFrom, double aTo,
                   const std::function<std::optional<double>(double)>& aDemand)
{
  std::uint32_t fewest = aPlatform.Total();
  for (double second = aFrom; second < aTo; second += 0.2) {
    const Time now = At(second);
    aPlatform.OnTime(now);
    std::optional<EngineOrder> order = aPlanner.Next(aPlatform.Supply(), aDemand(second), now);
    while (order) {
      aPlanner.OnOutcome(*order, aPlatform.OnOrder(*order, now), now);
      order = aPlanner.Next(aPlatform.Supply(), aDemand(second), now);
    }
    fewest = std::min(fewest, aPlatform.Total());
  }
  return fewest;
}

} // namespace

// Guards against engines that leave before their successors serve.
MASTICSTEP_TEST("cheaper engines replace the present ones without a gap", "[scaling]")
{
  EnginePlanner planner(kService, Traits(6, 0.2));
  Platform platform(6, 15);
  const std::uint32_t fewest =
    Play(planner, platform, 0.0, 20.0, [](double) { return std::nullopt; });
  CHECK_TRUE(fewest >= 90);
  for (const auto& [centre, supply] : platform.Supply()) {
    CHECK_EQUAL(1U, supply.reserved);
    CHECK_EQUAL(14U, supply.interruptible);
  }
}

MASTICSTEP_TEST("without cheaper engines the number follows the demand within its bounds",
                "[scaling]")
{
  EnginePlanner planner(kService, Traits(3, 1.0));
  Platform platform(3, 4);
  Play(planner, platform, 0.0, 40.0, [](double) { return 1000.0; });
  CHECK_EQUAL(90U, platform.Total());
  Play(planner, platform, 40.0, 140.0, [](double) { return 0.0; });
  CHECK_EQUAL(3U, platform.Total());
}

// Load: all interruptible engines of a data centre are taken away at once, and none are to be had
// there for ten seconds.
MASTICSTEP_TEST("the other data centres bear the load while one has lost its engines",
                "[scaling][failure]")
{
  EnginePlanner planner(kService, Traits(6, 0.2));
  Platform platform(6, 15);
  const auto demand = [](double) { return 20.0; };
  Play(planner, platform, 0.0, 60.0, demand);
  platform.Reclaim(Centre(2), At(70.0));
  const std::uint32_t fewest = Play(planner, platform, 60.0, 70.0, demand);
  CHECK_TRUE(fewest >= 60); // three times the demand
  Play(planner, platform, 70.0, 85.0, demand);
  CHECK_TRUE(platform.Supply().at(Centre(2)).interruptible >= 10);
}

// Load: waves of eleven and seventeen seconds.
MASTICSTEP_TEST("waves of the demand do not change the number of engines", "[scaling]")
{
  for (const double period : { 11.0, 17.0 }) {
    EnginePlanner planner(kService, Traits(6, 0.2));
    Platform platform(6, 15);
    const auto demand = [period](double aSecond) {
      constexpr double kTau = 6.283185307179586;
      return 15.0 * (1.0 + 0.5 * std::sin(kTau * aSecond / period));
    };
    Play(planner, platform, 0.0, 90.0, demand);
    const int before = platform.Orders();
    Play(planner, platform, 90.0, 300.0, demand);
    CHECK_EQUAL(before, platform.Orders());
  }
}

// Guards against a successor that takes the engines away that it does not know of yet, or whose
// load it has only been told in part.
MASTICSTEP_TEST("a new holder keeps what is there until it knows better", "[scaling][failure]")
{
  Platform platform(6, 15);
  EnginePlanner first(kService, Traits(6, 0.2));
  Play(first, platform, 0.0, 30.0, [](double) { return 20.0; });
  const std::uint32_t before = platform.Total();
  EnginePlanner second(kService, Traits(6, 0.2));
  // Engines and the needs of data centres become known one after the other.
  second.Next({ { Centre(0), { 1, 3 } } }, std::nullopt, At(30.0));
  const std::uint32_t fewest = Play(second, platform, 30.2, 55.0, [](double aSecond) {
    return aSecond < 40.0 ? std::optional<double>() : std::optional<double>(3.0);
  });
  CHECK_EQUAL(before, fewest);
}

MASTICSTEP_TEST("a demand that rises is followed at once, one that falls slowly", "[scaling]")
{
  EnginePlanner planner(kService, Traits(6, 0.2));
  Platform platform(6, 5);
  Play(planner, platform, 0.0, 30.0, [](double) { return 5.0; });
  const std::uint32_t before = platform.Total();
  Play(planner, platform, 30.0, 36.0, [](double) { return 20.0; });
  CHECK_TRUE(platform.Total() >= 60 && before < 60);
  Play(planner, platform, 36.0, 80.0, [](double) { return 5.0; });
  CHECK_TRUE(platform.Total() >= 60);
  Play(planner, platform, 80.0, 140.0, [](double) { return 5.0; });
  CHECK_TRUE(platform.Total() <= 30);
}

MASTICSTEP_TEST("an order without an answer is repeated after a pause", "[scaling][failure]")
{
  EnginePlanner planner(kService, Traits(2, 1.0));
  const SupplyByDataCentre supply{ { Centre(0), { 1, 0 } }, { Centre(1), { 9, 0 } } };
  planner.Next(supply, 30.0, At(-3.0));
  const std::optional<EngineOrder> order = planner.Next(supply, 30.0, At(0.0));
  CHECK_TRUE(order.has_value());
  planner.OnOutcome(*order, OrderOutcome::Unknown, At(0.1));
  CHECK_TRUE(planner.Next(supply, 30.0, At(0.5)) != order);
  CHECK_TRUE(planner.Next(supply, 30.0, At(1.2)) == order);
}

MASTICSTEP_TEST("the price counts both kinds", "[scaling]")
{
  dispatch::ScalingTraits traits = Traits(2, 0.2);
  traits.prices[Centre(1)] = 2.0;
  const EnginePlanner planner(kService, traits);
  const double price =
    planner.PricePerSecond({ { Centre(0), { 1, 10 } }, { Centre(1), { 2, 5 } } });
  CHECK_TRUE(std::abs(price - 9.0) < 1e-9);
}
