#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <optional>
#include <string>
#include <variant>

namespace masticstep::platform {

// Reads one object.
struct ReadRequest
{
  ObjectKey key;

  auto operator<=>(const ReadRequest&) const = default;
};

// Replaces an object if it still has the expected version. Without an expected version the object
// must not exist yet.
struct ConditionalWrite
{
  ObjectKey key;
  std::optional<Version> expected;
  std::string body;

  auto operator<=>(const ConditionalWrite&) const = default;
};

// Deletes an object if it still has the expected version.
struct ConditionalDelete
{
  ObjectKey key;
  Version expected;

  auto operator<=>(const ConditionalDelete&) const = default;
};

// Lists the objects whose keys start with the prefix. The platform may split a listing into pages.
struct ListRequest
{
  std::string prefix;
  std::string after{}; // only keys after this one

  auto operator<=>(const ListRequest&) const = default;
};

// Waits up to the timeout for changes after a revision of the store.
struct WatchRequest
{
  std::string prefix;
  std::uint64_t afterRevision = 0;
  Duration timeout{};

  auto operator<=>(const WatchRequest&) const = default;
};

using PlatformCall =
  std::variant<ReadRequest, ConditionalWrite, ConditionalDelete, ListRequest, WatchRequest>;

// A call with the number that matches the reply to the request.
struct PlatformRequest
{
  std::uint64_t number = 0;
  PlatformCall call;

  auto operator<=>(const PlatformRequest&) const = default;
};

} // namespace masticstep::platform
