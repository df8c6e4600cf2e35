#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/Configuration.hpp"
#include "masticstep/publication/Manifest.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::publication {

// The configuration files that are published under one service's name. An empty list removes the
// service.
struct ServiceContent
{
  ServiceName name;
  std::vector<ConfigurationFile> files;

  auto operator<=>(const ServiceContent&) const = default;
};

// Encoded content objects, by SHA-256 digest.
using ContentsByDigest = std::map<std::string, std::string>;

// Returns the text of the content object. The encoding is deterministic and ignores the order of
// the files, so the same files give the same digest.
std::string EncodeContent(const std::vector<ConfigurationFile>& aFiles);
Result<std::vector<ConfigurationFile>, Faults> ParseContent(std::string_view aText);

// Returns the digests in the manifest that have no entry in the contents, without duplicates.
std::vector<std::string> MissingDigests(const Manifest& aManifest,
                                        const ContentsByDigest& aContents);

// Parses and validates all services of a manifest together. Fails if a content object of the
// manifest is missing. File names in faults are prefixed with the service's name.
Result<Configuration, Faults> BuildConfiguration(const Manifest& aManifest,
                                                 const ContentsByDigest& aContents);

} // namespace masticstep::publication
