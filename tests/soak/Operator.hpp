#pragma once

#include "Caller.hpp"
#include "Checks.hpp"
#include "MetadataStore.hpp"

namespace masticstep::soak {

// Writes configurations into the store, each with a higher version.
class Operator
{
public:
  Operator(History& aHistory, MetadataStore& aStore, CallerRoom& aCallers, Bounds aBounds);

  void WriteFirst();
  // Waits until the store can be reached, then writes one version.
  Awaitable<void> MoveLookups();
  // Adds a route, or removes the one that was added last.
  Awaitable<void> AddOrRemoveRoute();
  Awaitable<void> Storm();

private:
  Awaitable<void> WaitForStore();
  void Write();

  History& mHistory;
  MetadataStore& mStore;
  CallerRoom& mCallers;
  Bounds mBounds;
  std::uint64_t mVersion = 7;
  std::uint64_t mAdded = 0;
  std::map<std::string, std::string> mServices; // by path prefix
};

} // namespace masticstep::soak
