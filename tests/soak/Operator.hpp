#pragma once

#include "Caller.hpp"
#include "Checks.hpp"
#include "MetadataStore.hpp"

namespace masticstep::soak {

// Writes configurations to the store with increasing versions.
class Operator
{
public:
  Operator(History& aHistory, MetadataStore& aStore, CallerSharedState& aCallers, Bounds aBounds);

  void WriteInitial();
  // Waits until the store is reachable, then moves the lookup route to the other plain service.
  Awaitable<void> MoveLookups();
  // Removes the route that was added last, or adds a new one if that has been removed already.
  Awaitable<void> AddOrRemoveRoute();
  // Writes several configurations in quick succession.
  Awaitable<void> Storm();
  // Writes the newest configuration to a store that may have lost it.
  Awaitable<void> WriteAgain();

private:
  Awaitable<void> WaitForStore();
  boost::json::value Content() const;
  void Write();

  History& mHistory;
  MetadataStore& mStore;
  CallerSharedState& mCallers;
  Bounds mBounds;
  std::uint64_t mVersion = 7;
  std::uint64_t mAddedRoutes = 0;
  std::map<std::string, std::string> mServices; // by path prefix
};

} // namespace masticstep::soak
