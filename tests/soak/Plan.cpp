#include "Plan.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>

namespace masticstep::soak {

namespace {

// Daemons must have a configuration and callers a first answer before faults begin.
constexpr Duration kFirstFault = Seconds(4);
constexpr std::int64_t kFewestFaults = 3;
constexpr std::int64_t kMostFaults = 11;
constexpr std::int64_t kShortestSpanMs = 200;
constexpr std::int64_t kLongestSpanMs = 5000;
constexpr std::size_t kKinds = static_cast<std::size_t>(FaultKind::ConfigurationStorm) + 1;

constexpr std::array<std::string_view, kKinds> kNames{ "kill daemon",
                                                       "pause daemon",
                                                       "stop daemon",
                                                       "reload daemon",
                                                       "kill all daemons",
                                                       "stop daemons in turn",
                                                       "delay callers",
                                                       "reset callers",
                                                       "silence callers",
                                                       "delay store link",
                                                       "reset store link",
                                                       "silence store link",
                                                       "delay engine link",
                                                       "reset engine link",
                                                       "silence engine link",
                                                       "store outage",
                                                       "store silence",
                                                       "store slow",
                                                       "store loses answers",
                                                       "store forgets history",
                                                       "crash engine",
                                                       "failing engine",
                                                       "engine loses answers",
                                                       "engine sends garbage",
                                                       "engine repeats answers",
                                                       "engine cuts streams",
                                                       "dark engine",
                                                       "full engine",
                                                       "engine leaves",
                                                       "move route",
                                                       "add route",
                                                       "configuration storm" };

// Draws the same numbers with every standard library, unlike its distributions.
class Draw
{
public:
  explicit Draw(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  std::int64_t Between(std::int64_t aLeast, std::int64_t aMost)
  {
    return aLeast +
           static_cast<std::int64_t>(mEngine() % static_cast<std::uint64_t>(aMost - aLeast + 1));
  }
  std::uint64_t Any() { return mEngine(); }

private:
  std::mt19937_64 mEngine;
};

} // namespace

std::string_view NameOf(FaultKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<PlannedFault> MakePlan(const PlanOptions& aOptions)
{
  Draw draw(aOptions.seed);
  const std::int64_t count = draw.Between(kFewestFaults, kMostFaults);
  const std::int64_t last = std::max((aOptions.length - aOptions.calm) / Milliseconds(1),
                                     kFirstFault / Milliseconds(1) + kLongestSpanMs);
  std::vector<PlannedFault> plan;
  for (std::int64_t i = 0; i < count; ++i) {
    PlannedFault fault;
    fault.kind = static_cast<FaultKind>(draw.Between(0, kKinds - 1));
    fault.span = Milliseconds(draw.Between(kShortestSpanMs, kLongestSpanMs));
    fault.at = Milliseconds(
      draw.Between(kFirstFault / Milliseconds(1), last - fault.span / Milliseconds(1)));
    fault.choice = draw.Any();
    plan.push_back(fault);
  }
  std::stable_sort(
    plan.begin(), plan.end(),
    [](const PlannedFault& aLeft, const PlannedFault& aRight) { return aLeft.at < aRight.at; });
  std::vector<PlannedFault> kept;
  for (std::size_t i = 0; i < plan.size(); ++i) {
    if (!aOptions.without.contains(i)) {
      kept.push_back(plan[i]);
    }
  }
  return kept;
}

std::string ToString(const PlannedFault& aFault)
{
  std::ostringstream text;
  text << NameOf(aFault.kind) << " " << aFault.choice % 1000 << " at " << ToSeconds(aFault.at)
       << " s for " << ToSeconds(aFault.span) << " s";
  return text.str();
}

} // namespace masticstep::soak
