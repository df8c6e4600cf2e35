#include "masticstep/publication/GenerationTracker.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::publication {

TrackerActions GenerationTracker::OnManifest(std::string_view aText)
{
  TrackerActions actions;
  Result<Manifest, Faults> manifest = ParseManifest(aText);
  if (!manifest) {
    actions.faults = manifest.error();
    return actions;
  }
  if (!IsNewer(*manifest)) {
    actions.digestsToFetch = DigestsToFetch();
    return actions;
  }
  mCandidate = std::move(*manifest);
  return ApplyIfComplete();
}

TrackerActions GenerationTracker::OnContent(const std::string& aText)
{
  const std::string digest = Sha256Hex(aText);
  const std::vector<std::string> digestsToFetch = DigestsToFetch();
  if (std::find(digestsToFetch.begin(), digestsToFetch.end(), digest) == digestsToFetch.end()) {
    return { digestsToFetch, false, {} };
  }
  mContents.emplace(digest, aText);
  return ApplyIfComplete();
}

std::uint64_t GenerationTracker::NewestGeneration() const
{
  const std::uint64_t candidate = mCandidate ? mCandidate->generation : 0;
  return std::max({ mAppliedManifest.generation, candidate, mRejectedGeneration });
}

std::vector<std::string> GenerationTracker::DigestsToFetch() const
{
  return mCandidate ? MissingDigests(*mCandidate, mContents) : std::vector<std::string>{};
}

const std::string* GenerationTracker::FindContent(const std::string& aDigest) const
{
  const ContentsByDigest::const_iterator it = mContents.find(aDigest);
  return it == mContents.end() ? nullptr : &it->second;
}

bool GenerationTracker::IsNewer(const Manifest& aManifest) const
{
  if (mFaults.acceptsAnyOtherGeneration) {
    return aManifest.generation != mAppliedManifest.generation;
  }
  return aManifest.generation > NewestGeneration();
}

TrackerActions GenerationTracker::ApplyIfComplete()
{
  TrackerActions actions;
  actions.digestsToFetch = DigestsToFetch();
  if (!actions.digestsToFetch.empty() && !mFaults.appliesIncompleteGeneration) {
    return actions;
  }
  Result<Configuration, Faults> checked = BuildConfiguration(*mCandidate, mContents);
  if (checked || mFaults.appliesIncompleteGeneration) {
    mAppliedManifest = std::move(*mCandidate);
    mCurrent = checked ? std::make_shared<const Configuration>(std::move(*checked)) : nullptr;
    actions.applied = true;
  } else {
    mRejectedGeneration = mCandidate->generation;
    actions.faults = checked.error();
  }
  mCandidate.reset();
  DropUnusedContents();
  return actions;
}

// Keeps only the contents of the manifest in force, so that memory use does not grow with the
// number of generations.
void GenerationTracker::DropUnusedContents()
{
  std::erase_if(mContents, [this](const ContentsByDigest::value_type& aItem) {
    return std::none_of(mAppliedManifest.services.begin(), mAppliedManifest.services.end(),
                        [&aItem](const std::pair<const ServiceName, ManifestEntry>& aEntry) {
                          return aEntry.second.digest == aItem.first;
                        });
  });
}

} // namespace masticstep::publication
