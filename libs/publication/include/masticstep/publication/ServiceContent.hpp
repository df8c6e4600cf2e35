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

// The files that are published under one service's name. Without files the service is removed.
struct ServiceContent
{
  ServiceName name;
  std::vector<ConfigurationFile> files;

  auto operator<=>(const ServiceContent&) const = default;
};

// Encoded content objects by their digests.
using ContentsByDigest = std::map<std::string, std::string>;

// Returns the text of the content object. The same files give the same text and so the same digest.
std::string EncodeContent(const std::vector<ConfigurationFile>& aFiles);
Result<std::vector<ConfigurationFile>, Faults> ParseContent(std::string_view aText);

// Returns the digests that the manifest names and the contents lack, each once.
std::vector<std::string> MissingDigests(const Manifest& aManifest,
                                        const ContentsByDigest& aContents);

// Checks all services of a manifest together. Every content that the manifest names must be
// present. File names in faults are prefixed with the service's name.
Result<Configuration, Faults> BuildConfiguration(const Manifest& aManifest,
                                                 const ContentsByDigest& aContents);

} // namespace masticstep::publication
