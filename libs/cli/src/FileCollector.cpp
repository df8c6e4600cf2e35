#include "masticstep/cli/FileCollector.hpp"

#include "masticstep/base/ObjectReader.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace masticstep {

namespace {

namespace fs = std::filesystem;

constexpr std::string_view kServiceSuffix = ".service.json";
constexpr std::string_view kAccountsSuffix = ".accounts.json";

// File paths by folder, sorted so that the order does not depend on directory iteration.
using FilesByFolder = std::map<std::string, std::set<std::string>>;

bool IsConfigurationFile(const std::string& aName)
{
  return aName.ends_with(kServiceSuffix) || aName.ends_with(kAccountsSuffix);
}

void FindFiles(const std::string& aFolder, FilesByFolder& aFound, Faults& aFaults)
{
  std::error_code ec;
  fs::recursive_directory_iterator it(aFolder, ec);
  if (ec) {
    aFaults.push_back({ aFolder, "$", "cannot be read: " + ec.message(), "a readable folder" });
    return;
  }
  for (; it != fs::recursive_directory_iterator(); it.increment(ec)) {
    if (it->is_regular_file(ec) && IsConfigurationFile(it->path().filename().string())) {
      const fs::path path = it->path().lexically_normal();
      aFound[path.parent_path().string()].insert(path.string());
    }
  }
  if (ec) {
    aFaults.push_back({ aFolder, "$", "cannot be read: " + ec.message(), "a readable folder" });
  }
}

void ReadFile(const std::string& aPath, PublicationUnit& aUnit, Faults& aFaults)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
  if (!stream) {
    aFaults.push_back({ aPath, "$", "cannot be read", "a readable file" });
    return;
  }
  aUnit.files.push_back({ aPath, std::move(text) });
}

// Returns the value of "service", or an empty string if it is missing or invalid. Faults are
// ignored here because the later validation reports them.
std::string ParseServiceName(const ConfigurationFile& aFile)
{
  Faults ignored;
  const std::optional<boost::json::object> object = ParseObject(aFile.text, aFile.name, ignored);
  return object.has_value()
           ? ObjectReader(*object, aFile.name, "$", ignored).RequiredName("service")
           : std::string();
}

PublicationUnit MakeUnit(const std::string& aFolder, const std::set<std::string>& aPaths,
                         Faults& aFaults)
{
  PublicationUnit unit;
  std::string serviceFile;
  for (const std::string& path : aPaths) {
    ReadFile(path, unit, aFaults);
    if (!path.ends_with(kServiceSuffix)) {
      continue;
    }
    if (!serviceFile.empty()) {
      aFaults.push_back(
        { path, "$", "second service in the folder of " + serviceFile, "one service per folder" });
    }
    serviceFile = path;
  }
  const fs::path folder = fs::absolute(aFolder).lexically_normal();
  unit.name = folder.filename().string();
  for (const ConfigurationFile& file : unit.files) {
    if (file.name == serviceFile && !ParseServiceName(file).empty()) {
      unit.name = ParseServiceName(file);
    }
  }
  return unit;
}

void CheckUniqueNames(const std::vector<PublicationUnit>& aUnits, Faults& aFaults)
{
  std::set<std::string> names;
  for (const PublicationUnit& unit : aUnits) {
    if (!names.insert(unit.name).second) {
      aFaults.push_back({ unit.files.empty() ? unit.name : unit.files.front().name, "$",
                          "'" + unit.name + "' is already the name of another folder's unit",
                          "a unique name" });
    }
  }
}

} // namespace

Result<std::vector<PublicationUnit>, Faults> CollectFiles(const std::vector<std::string>& aFolders)
{
  Faults faults;
  FilesByFolder found;
  for (const std::string& folder : aFolders) {
    FindFiles(folder, found, faults);
  }
  std::vector<PublicationUnit> units;
  for (const std::pair<const std::string, std::set<std::string>>& item : found) {
    units.push_back(MakeUnit(item.first, item.second, faults));
  }
  CheckUniqueNames(units, faults);
  if (units.empty() && faults.empty()) {
    faults.push_back({ aFolders.front(), "$", "no configuration file found",
                       "files that end in .service.json or .accounts.json" });
  }
  if (!faults.empty()) {
    return Failure(faults);
  }
  return units;
}

std::vector<ConfigurationFile> AllFiles(const std::vector<PublicationUnit>& aUnits)
{
  std::vector<ConfigurationFile> files;
  for (const PublicationUnit& unit : aUnits) {
    files.insert(files.end(), unit.files.begin(), unit.files.end());
  }
  return files;
}

} // namespace masticstep
