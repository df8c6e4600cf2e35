#include "masticstep/publication/Manifest.hpp"

#include "masticstep/base/ObjectReader.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::publication {

namespace {

const std::string kManifestObjectKey = "config/manifest";
constexpr IntegerRange kCounterRange{ 0, INT64_MAX };
constexpr std::size_t kDigestLength = 64;

bool IsDigest(std::string_view aText)
{
  return aText.size() == kDigestLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

ManifestEntry ReadEntry(ObjectReader& aReader)
{
  ManifestEntry entry;
  entry.digest = aReader.RequiredString("digest");
  if (!IsDigest(entry.digest)) {
    aReader.Report("digest", "not a SHA-256 digest", "64 lower-case hexadecimal digits");
  }
  entry.revision = static_cast<std::uint64_t>(aReader.RequiredInteger("revision", kCounterRange));
  entry.publisher = aReader.RequiredString("publisher");
  return entry;
}

} // namespace

platform::ObjectKey ManifestKey()
{
  return platform::ObjectKey{ kManifestObjectKey };
}

platform::ObjectKey ContentKey(std::string_view aDigest)
{
  return platform::ObjectKey{ "config/content/" + std::string(aDigest) };
}

std::string EncodeManifest(const Manifest& aManifest)
{
  boost::json::object services;
  for (const std::pair<const ServiceName, ManifestEntry>& item : aManifest.services) {
    services[item.first.Text()] = boost::json::object{ { "digest", item.second.digest },
                                                       { "revision", item.second.revision },
                                                       { "publisher", item.second.publisher } };
  }
  return boost::json::serialize(boost::json::object{ { "generation", aManifest.generation },
                                                     { "services", std::move(services) } });
}

Result<Manifest, Faults> ParseManifest(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kManifestObjectKey, faults);
  if (!object) {
    return Failure(std::move(faults));
  }
  Manifest manifest;
  ObjectReader reader(*object, kManifestObjectKey, "$", faults);
  manifest.generation =
    static_cast<std::uint64_t>(reader.RequiredInteger("generation", kCounterRange));
  const std::optional<ObjectReader> services = reader.OptionalObject("services");
  if (services) {
    for (const boost::json::key_value_pair& item : object->at("services").get_object()) {
      const std::string name(item.key());
      const std::string path = services->Path() + "." + name;
      if (!item.value().is_object()) {
        faults.push_back({ kManifestObjectKey, path, "not an object", "object" });
        continue;
      }
      ObjectReader entry(item.value().get_object(), kManifestObjectKey, path, faults);
      manifest.services[ServiceName{ name }] = ReadEntry(entry);
    }
  }
  if (!faults.empty()) {
    return Failure(std::move(faults));
  }
  return manifest;
}

} // namespace masticstep::publication
