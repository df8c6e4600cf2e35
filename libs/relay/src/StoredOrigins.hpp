#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/StreamOrigins.hpp"

#include <string>
#include <vector>

namespace masticstep::relay {

// Content of one object about the origins of streams in the platform's store: streams that began
// lately, or the versions that are in service.
struct StoredOrigins
{
  std::vector<dispatch::StreamGroup> groups;
  std::vector<dispatch::ServiceVersion> versions; // idle times as of the writing

  bool operator==(const StoredOrigins&) const = default;
};

// The sequence number makes objects of the same content differ, so that a write shows others that
// the writer is alive.
std::string EncodeStoredOrigins(const StoredOrigins& aOrigins, std::uint64_t aSequence);
// Returns a description of the first fault if the body is none of EncodeStoredOrigins.
Result<StoredOrigins, std::string> DecodeStoredOrigins(const std::string& aBody);

} // namespace masticstep::relay
