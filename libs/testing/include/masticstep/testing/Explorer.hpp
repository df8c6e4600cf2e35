#pragma once

#include "masticstep/base/Hash.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/testing/StateText.hpp"

#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticstep::testing {

struct ExplorerLimits
{
  std::size_t depth = 0;                   // longest sequence of events
  std::size_t states = 2 * 1000 * 1000ULL; // after which the run ends as incomplete
};

struct ExplorerReport
{
  std::size_t states = 0;      // distinct ones
  std::size_t transitions = 0; // including those into known states
  std::size_t depth = 0;       // fully explored depth
  bool exhausted = false;      // no state was left to explore within the depth
  std::string violation;       // empty if every state was right
  std::vector<std::string> trace;
};

inline std::pair<std::uint64_t, std::uint64_t> DigestOf(const std::string& aText)
{
  return { Hash64(aText, 1), Hash64(aText, 2) };
}

// Explores every sequence of events of a world, breadth first, up to a depth. A world is a copyable
// value with these members: Events() returns the enabled events, Apply(event) takes one,
// Violation() returns what is wrong or an empty text, Describe(event) names an event, and State()
// returns all members that decide as a tuple. States are told apart by 128-bit digests.
template <class World>
ExplorerReport Explore(const World& aInitial, ExplorerLimits aLimits)
{
  struct Node
  {
    std::size_t parent;
    std::string event;
  };
  struct Open
  {
    World world;
    std::size_t node;
  };
  ExplorerReport report;
  std::vector<Node> nodes{ { 0, "" } };
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  std::vector<Open> level;
  level.push_back({ aInitial, 0 });
  while (!level.empty() && report.depth < aLimits.depth) {
    std::vector<Open> next;
    for (const Open& open : level) {
      for (const auto& event : open.world.Events()) {
        ++report.transitions;
        World world = open.world;
        world.Apply(event);
        std::string text;
        AppendState(text, world.State());
        if (!seen.insert(DigestOf(text)).second) {
          continue;
        }
        nodes.push_back({ open.node, open.world.Describe(event) });
        report.violation = world.Violation();
        if (!report.violation.empty() || seen.size() >= aLimits.states) {
          report.states = seen.size();
          for (std::size_t i = nodes.size() - 1; i != 0; i = nodes[i].parent) {
            report.trace.insert(report.trace.begin(), nodes[i].event);
          }
          return report;
        }
        next.push_back({ std::move(world), nodes.size() - 1 });
      }
    }
    level = std::move(next);
    ++report.depth;
  }
  report.states = seen.size();
  report.exhausted = true;
  return report;
}

// Takes random events until none is enabled, the number of steps is reached, or the world is wrong.
template <class World>
ExplorerReport Walk(World aWorld, std::uint64_t aSeed, std::size_t aSteps)
{
  ExplorerReport report;
  Random random(aSeed);
  while (report.transitions < aSteps) {
    const auto events = aWorld.Events();
    if (events.empty()) {
      break;
    }
    const auto event = events[random.Below(events.size())];
    report.trace.push_back(aWorld.Describe(event));
    aWorld.Apply(event);
    ++report.transitions;
    report.violation = aWorld.Violation();
    if (!report.violation.empty()) {
      break;
    }
  }
  return report;
}

// Prints one line with the size of the explored space, and the trace of a violation.
inline void Print(const std::string& aName, const ExplorerReport& aReport)
{
  std::cout << "  explored " << aName << ": states " << aReport.states << ", transitions "
            << aReport.transitions << ", depth " << aReport.depth
            << (aReport.exhausted ? "" : " (stopped)");
  if (!aReport.violation.empty()) {
    std::cout << ", violation after " << aReport.trace.size() << " events: " << aReport.violation;
  }
  std::cout << "\n";
}

} // namespace masticstep::testing
