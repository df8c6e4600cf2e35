#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/Configuration.hpp"

#include <string>
#include <vector>

namespace masticstep {

// Files of one folder that are published together under one name.
struct PublicationUnit
{
  std::string name; // the service's name, or the folder's name if it holds accounts only
  std::vector<ConfigurationFile> files;

  auto operator<=>(const PublicationUnit&) const = default;
};

// Collects *.service.json and *.accounts.json files below the folders. Each folder that holds such
// files is one unit and may hold one service. The error lists folders that cannot be read, hold two
// services or have the same name as another, and runs that find no file at all.
Result<std::vector<PublicationUnit>, Faults> CollectFiles(const std::vector<std::string>& aFolders);

// Returns the files of all units in one list.
std::vector<ConfigurationFile> AllFiles(const std::vector<PublicationUnit>& aUnits);

} // namespace masticstep
