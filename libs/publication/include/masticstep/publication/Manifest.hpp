#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace masticstep::publication {

// Published state of one service.
struct ManifestEntry
{
  std::string digest;         // SHA-256 of the content object, 64 hexadecimal digits
  std::uint64_t revision = 0; // how many times the service was published
  std::string publisher;      // nonce of the publish run that wrote this revision

  auto operator<=>(const ManifestEntry&) const = default;
};

// Content of the object config/manifest. It lists the content objects of all services in one
// generation of the configuration.
struct Manifest
{
  std::uint64_t generation = 0;
  std::map<ServiceName, ManifestEntry> services;

  auto operator<=>(const Manifest&) const = default;
};

platform::ObjectKey ManifestKey();

// Returns the key of the content object with this digest.
platform::ObjectKey ContentKey(std::string_view aDigest);

std::string EncodeManifest(const Manifest& aManifest);
Result<Manifest, Faults> ParseManifest(std::string_view aText);

} // namespace masticstep::publication
