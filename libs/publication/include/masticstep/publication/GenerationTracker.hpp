#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/config/Configuration.hpp"
#include "masticstep/publication/Manifest.hpp"
#include "masticstep/publication/ServiceContent.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace masticstep::publication {

// Result of one manifest or content given to the tracker.
struct TrackerActions
{
  std::vector<std::string> digestsToFetch; // from the platform or from peers
  bool applied = false;                    // a new generation is in force
  Faults faults;                           // why the offered generation or content was rejected

  auto operator<=>(const TrackerActions&) const = default;
};

// Decides in one daemon which configuration generation is in force. A generation comes into force
// only as a whole, after it was checked, and only if it is newer than the one in force. Manifests
// and contents may come from the platform or from peers, in any order and repeatedly.
class GenerationTracker
{
public:
  TrackerActions OnManifest(std::string_view aText);
  TrackerActions OnContent(const std::string& aText);

  // Generation in force; 0 before the first.
  std::uint64_t Generation() const { return mApplied.generation; }
  // Newest generation heard of, including one that is incomplete or was rejected.
  std::uint64_t NewestGeneration() const;
  // Configuration in force, or null before the first. Requests in flight keep their pointer.
  std::shared_ptr<const Configuration> Current() const { return mCurrent; }
  // Digests that are missing for the newest generation.
  std::vector<std::string> DigestsToFetch() const;
  // Manifest in force, for peers.
  const Manifest& AppliedManifest() const { return mApplied; }
  // Content for a peer that misses it, or null.
  const std::string* FindContent(const std::string& aDigest) const;

  // All members that decide, for comparison.
  auto State() const { return std::tie(mApplied, mCandidate, mRejected, mContents); }

private:
  friend class PlantedFault; // defined only in tests

  // Faults that the exploring tests must detect. All are off outside tests.
  struct PlantedFaults
  {
    bool acceptsAnyOtherGeneration = false;
    bool appliesIncomplete = false;
  };

  bool IsNewer(const Manifest& aManifest) const;
  TrackerActions TryApply();
  void DropUnusedContents();

  Manifest mApplied;
  std::optional<Manifest> mCandidate; // newer than the applied one, not yet complete
  std::uint64_t mRejected = 0;        // newest generation that failed the check
  ContentsByDigest mContents;
  std::shared_ptr<const Configuration> mCurrent;
  PlantedFaults mFaults;
};

} // namespace masticstep::publication
