#include "masticstep/publication/GenerationTracker.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::publication;

namespace {

const std::string kContent = EncodeContent({ { "a.accounts.json", R"({"accounts": []})" } });
const std::string kBadContent = EncodeContent({ { "a.accounts.json", R"({"accounts": 1})" } });

std::string ManifestText(std::uint64_t aGeneration, const std::string& aContent = kContent)
{
  return EncodeManifest(
    { aGeneration, { { ServiceName{ "accounts" }, { Sha256Hex(aContent), aGeneration, "p" } } } });
}

} // namespace

// Guards against a generation in force before all its contents are present.
MASTICSTEP_TEST("a generation is applied only when it is whole", "[publication]")
{
  GenerationTracker tracker;
  CHECK_EQUAL(1U, tracker.OnManifest(ManifestText(1)).digestsToFetch.size());
  CHECK_TRUE(tracker.Current() == nullptr);
  CHECK_FALSE(tracker.OnContent("other").applied);
  CHECK_TRUE(tracker.OnContent(kContent).applied);
  CHECK_EQUAL(1U, tracker.Current()->Generation());
}

// Guards against a late manifest that takes the daemon back a generation.
MASTICSTEP_TEST("an older generation is never applied", "[publication]")
{
  GenerationTracker tracker;
  tracker.OnManifest(ManifestText(3));
  tracker.OnContent(kContent);
  CHECK_FALSE(tracker.OnManifest(ManifestText(2)).applied);
  CHECK_EQUAL(3U, tracker.Generation());
  CHECK_TRUE(tracker.OnManifest(ManifestText(4)).applied);
}

// Guards against a faulty generation that replaces a working one or blocks the next good one.
MASTICSTEP_TEST("a faulty generation is rejected and the next good one applied", "[publication]")
{
  GenerationTracker tracker;
  tracker.OnManifest(ManifestText(1));
  tracker.OnContent(kContent);
  tracker.OnManifest(ManifestText(2, kBadContent));
  CHECK_FALSE(tracker.OnContent(kBadContent).faults.empty());
  CHECK_EQUAL(1U, tracker.Generation());
  CHECK_EQUAL(2U, tracker.NewestGeneration());
  CHECK_TRUE(tracker.OnManifest(ManifestText(3)).applied);
}
