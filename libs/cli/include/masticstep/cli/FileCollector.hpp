#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/Configuration.hpp"

#include <string>
#include <vector>

namespace masticstep {

// Configuration files of one folder, published together under one name.
struct PublicationUnit
{
  std::string name; // name of the service, or of the folder if it holds only accounts
  std::vector<ConfigurationFile> files;

  auto operator<=>(const PublicationUnit&) const = default;
};

// Collects *.service.json and *.accounts.json files recursively. Each folder that contains such
// files is one unit and may contain at most one service. Fails with one fault for each folder or
// file that cannot be read, each additional service in a folder and each duplicate unit name, or if
// no file is found.
Result<std::vector<PublicationUnit>, Faults> CollectFiles(const std::vector<std::string>& aFolders);

// Returns the files of all units in the order of the units.
std::vector<ConfigurationFile> AllFiles(const std::vector<PublicationUnit>& aUnits);

} // namespace masticstep
