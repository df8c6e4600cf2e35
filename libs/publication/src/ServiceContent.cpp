#include "masticstep/publication/ServiceContent.hpp"

#include "masticstep/base/ObjectReader.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep::publication {

namespace {

const std::string kContentFile = "config/content";

} // namespace

std::string EncodeContent(const std::vector<ConfigurationFile>& aFiles)
{
  std::vector<ConfigurationFile> sorted = aFiles;
  std::sort(sorted.begin(), sorted.end());
  boost::json::array files;
  for (const ConfigurationFile& file : sorted) {
    files.push_back(boost::json::object{ { "name", file.name }, { "text", file.text } });
  }
  return boost::json::serialize(boost::json::object{ { "files", std::move(files) } });
}

Result<std::vector<ConfigurationFile>, Faults> ParseContent(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kContentFile, faults);
  std::vector<ConfigurationFile> files;
  if (object) {
    ObjectReader reader(*object, kContentFile, "$", faults);
    for (ObjectReader& item : reader.ObjectList("files", true)) {
      files.push_back({ item.RequiredString("name"), item.RequiredString("text") });
    }
  }
  if (!faults.empty()) {
    return Failure(std::move(faults));
  }
  return files;
}

std::vector<std::string> MissingDigests(const Manifest& aManifest,
                                        const ContentsByDigest& aContents)
{
  std::set<std::string> missing;
  for (const std::pair<const ServiceName, ManifestEntry>& item : aManifest.services) {
    if (!aContents.contains(item.second.digest)) {
      missing.insert(item.second.digest);
    }
  }
  return { missing.begin(), missing.end() };
}

Result<Configuration, Faults> BuildConfiguration(const Manifest& aManifest,
                                                 const ContentsByDigest& aContents)
{
  std::vector<ConfigurationFile> files;
  for (const std::pair<const ServiceName, ManifestEntry>& item : aManifest.services) {
    const ContentsByDigest::const_iterator it = aContents.find(item.second.digest);
    if (it == aContents.end()) {
      return Failure(
        Faults{ { item.first.Text(), "$", "content " + item.second.digest + " is missing", "" } });
    }
    Result<std::vector<ConfigurationFile>, Faults> parsed = ParseContent(it->second);
    if (!parsed) {
      return Failure(parsed.error());
    }
    for (ConfigurationFile& file : *parsed) {
      files.push_back({ item.first.Text() + "/" + file.name, std::move(file.text) });
    }
  }
  return Configuration::Create(aManifest.generation, files);
}

} // namespace masticstep::publication
