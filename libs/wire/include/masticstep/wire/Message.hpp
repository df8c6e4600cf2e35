#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticstep::wire {

// First frame on every link; identifies the sender. A later Hello with replyWanted is a
// keep-alive.
struct Hello
{
  std::string name;
  std::string address;
  std::string dataCentre;
  std::string region;
  bool replyWanted = false;

  bool operator==(const Hello&) const = default;
};

struct MemberFields
{
  std::string name;
  std::string address;
  std::string dataCentre;
  std::string region;
  std::uint64_t incarnation = 0;
  std::uint8_t state = 0;

  bool operator==(const MemberFields&) const = default;
};

struct MembershipFrame
{
  std::uint8_t kind = 0;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0;
  std::string target;
  std::vector<MemberFields> records;

  bool operator==(const MembershipFrame&) const = default;
};

// Entry whose key, owner and an earlier version are already known to the receiver. Values are at
// most 65535 bytes and ages at most 65535 ms; entries above these limits are sent as
// FullEntryFields.
struct CompactEntryFields
{
  std::uint64_t keyHash = 0;
  std::uint32_t versionLow = 0;
  std::uint16_t ownerTag = 0;
  std::uint16_t ageMs = 0;
  std::string value;

  bool operator==(const CompactEntryFields&) const = default;
};

struct FullEntryFields
{
  std::uint8_t kind = 0;
  std::string name;
  std::string owner;
  std::uint64_t version = 0;
  std::uint32_t ageMs = 0;
  std::string value;

  bool operator==(const FullEntryFields&) const = default;
};

struct KeyVersionFields
{
  std::uint64_t keyHash = 0;
  std::uint64_t version = 0;
  std::uint32_t ownerHash = 0;

  bool operator==(const KeyVersionFields&) const = default;
};

struct SpreadFrame
{
  std::uint8_t kind = 0;
  std::uint64_t generation = 0;
  std::vector<CompactEntryFields> compact;
  std::vector<FullEntryFields> full;
  std::vector<KeyVersionFields> versions;
  std::vector<std::uint64_t> hashes;

  bool operator==(const SpreadFrame&) const = default;
};

struct ContentFrame
{
  std::uint8_t kind = 0;
  std::uint64_t generation = 0;
  std::string manifest;
  std::vector<std::string> digests;
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;

  bool operator==(const ContentFrame&) const = default;
};

using Message = std::variant<Hello, MembershipFrame, SpreadFrame, ContentFrame>;

} // namespace masticstep::wire
