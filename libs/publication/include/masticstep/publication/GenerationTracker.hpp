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

// Result of passing a manifest or a content object to the tracker.
struct TrackerActions
{
  std::vector<std::string> digestsToFetch; // from the platform or from peers
  bool applied = false;                    // a new generation came into force
  Faults faults;                           // why the manifest or the new generation was rejected

  auto operator<=>(const TrackerActions&) const = default;
};

// Decides which configuration generation is in force in a daemon. A generation comes into force
// once all its contents are present and the configuration is valid, and only if it is newer than
// the one in force. Manifests and contents may come from the platform or from peers, in any order
// and with duplicates.
class GenerationTracker
{
public:
  TrackerActions OnManifest(std::string_view aText);
  TrackerActions OnContent(const std::string& aText);

  // Generation in force; 0 if there is none yet.
  std::uint64_t Generation() const { return mAppliedManifest.generation; }
  // Newest generation received, including one that is incomplete or was rejected.
  std::uint64_t NewestGeneration() const;
  // Configuration in force, or null if there is none yet. It is shared, so that requests in flight
  // keep the configuration that they began with.
  std::shared_ptr<const Configuration> Current() const { return mCurrent; }
  // Digests of the contents that the newest generation still needs.
  std::vector<std::string> DigestsToFetch() const;
  // Manifest in force, to be sent to peers.
  const Manifest& AppliedManifest() const { return mAppliedManifest; }
  // Content with this digest, to be sent to a peer, or null.
  const std::string* FindContent(const std::string& aDigest) const;

  // All members that affect behaviour, for state comparison in tests.
  auto State() const
  {
    return std::tie(mAppliedManifest, mCandidate, mRejectedGeneration, mContents);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Protocol faults that the explorer tests must detect; all off in production.
  struct PlantedFaults
  {
    bool acceptsAnyOtherGeneration = false;
    bool appliesIncompleteGeneration = false;
  };

  bool IsNewer(const Manifest& aManifest) const;
  TrackerActions ApplyIfComplete();
  void DropUnusedContents();

  Manifest mAppliedManifest;
  std::optional<Manifest> mCandidate;    // newer than the applied one, with contents missing
  std::uint64_t mRejectedGeneration = 0; // newest generation that failed validation
  ContentsByDigest mContents;
  std::shared_ptr<const Configuration> mCurrent;
  PlantedFaults mFaults;
};

} // namespace masticstep::publication
