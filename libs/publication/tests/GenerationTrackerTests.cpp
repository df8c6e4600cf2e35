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

// Guards against applying a generation before all its contents are present.
MASTICSTEP_TEST("a generation is applied only when all its contents are present", "[publication]")
{
  GenerationTracker tracker;
  CHECK_EQUAL(1U, tracker.OnManifest(ManifestText(1)).digestsToFetch.size());
  CHECK_TRUE(tracker.Current() == nullptr);
  CHECK_FALSE(tracker.OnContent("other").applied);
  CHECK_TRUE(tracker.OnContent(kContent).applied);
  CHECK_EQUAL(1U, tracker.Current()->Generation());
}

// Guards against a return to an older generation when a delayed manifest arrives.
MASTICSTEP_TEST("an older generation is never applied", "[publication]")
{
  GenerationTracker tracker;
  tracker.OnManifest(ManifestText(3));
  tracker.OnContent(kContent);
  CHECK_FALSE(tracker.OnManifest(ManifestText(2)).applied);
  CHECK_EQUAL(3U, tracker.Generation());
  CHECK_TRUE(tracker.OnManifest(ManifestText(4)).applied);
}

// Guards against an invalid generation that replaces a valid one or blocks the next valid one.
MASTICSTEP_TEST("an invalid generation is rejected and the next valid one is applied",
                "[publication]")
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
