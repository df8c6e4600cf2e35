#include "SoakRun.hpp"

#include <cstdlib>
#include <filesystem>

namespace masticstep::soak {

std::string PlaySoak(FleetOptions aOptions, std::uint64_t aSeed)
{
  std::string folder = (std::filesystem::temp_directory_path() / "masticstep-soak-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    return "the folder of the run cannot be created\n";
  }
  aOptions.plan.seed = aSeed;
  aOptions.folder = folder;
  const Result<std::unique_ptr<Fleet>, std::string> fleet = Fleet::Create(std::move(aOptions));
  if (!fleet) {
    return fleet.error() + "\n";
  }
  std::string text;
  for (const Finding& finding : (*fleet)->Run()) {
    text += finding.rule + ": " + finding.text + "\n";
  }
  if (text.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    text += "see " + folder + "\n";
  }
  return text;
}

} // namespace masticstep::soak
