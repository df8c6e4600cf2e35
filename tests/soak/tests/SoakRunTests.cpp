// A short run of the whole system with a fixed seed. seeds.txt lists the seeds that failed in the
// past.
#include "Fleet.hpp"

#include "masticstep/testing/Test.hpp"

#include <cstdlib>
#include <filesystem>

using namespace masticstep;
using namespace masticstep::soak;

namespace {

void Play(std::uint64_t aSeed)
{
  std::string folder = (std::filesystem::temp_directory_path() / "masticstep-soak-XXXXXX").string();
  CHECK_TRUE(mkdtemp(folder.data()) != nullptr);
  FleetOptions options;
  options.plan.seed = aSeed;
  options.plan.length = Seconds(28);
  options.folder = folder;
  const Result<std::unique_ptr<Fleet>, std::string> fleet = Fleet::Create(options);
  CHECK_TRUE(fleet.has_value());
  const Findings findings = (*fleet)->Run();
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.rule + ": " + finding.text + "\n";
  }
  CHECK_EQUAL(std::string(), text);
  std::filesystem::remove_all(folder);
}

} // namespace

MASTICSTEP_TEST("a seeded run of daemons under faults violates no guarantee", "[soak][run]")
{
  Play(115);
}
