#pragma once

#include "masticstep/spread/Entry.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticstep {

enum class SpreadMessageKind : std::uint8_t
{
  Delta = 1, // new entries; hashes: owners whose periodic entries the sender gets on another link
  Exchange = 2, // versions that the sender has; answered with newer entries and a Request
  Request = 3,  // hashes: keys whose entries the sender lacks
  Digest = 4,   // hashes: digests of non-periodic entries and of the periodic keys
  Graft = 5     // hashes: owners whose periodic entries the sender needs again
};

// Entry without key and owner names, for a receiver that has an earlier version of it.
struct CompactEntry
{
  std::uint64_t keyHash = 0;
  std::uint32_t versionLow = 0; // low 32 bits; the receiver's version is less than 2^31 away
  std::uint16_t ownerTag = 0;   // see OwnerTag()
  std::uint16_t ageMs = 0;
  std::string value;

  bool operator==(const CompactEntry&) const = default;
};

struct KeyVersion
{
  std::uint64_t keyHash = 0;
  std::uint64_t version = 0;
  std::uint32_t ownerHash = 0; // two owners may publish the same version during a partition

  auto operator<=>(const KeyVersion&) const = default;
};

struct SpreadMessage
{
  SpreadMessageKind kind = SpreadMessageKind::Delta;
  std::uint64_t generation = 0; // configuration generation that the sender has completely
  std::vector<CompactEntry> compact;
  std::vector<Entry> full;
  std::vector<KeyVersion> versions;
  std::vector<std::uint64_t> hashes;

  bool operator==(const SpreadMessage&) const = default;
};

enum class ContentMessageKind : std::uint8_t
{
  NoticeRequest = 1, // answered with Notice
  Notice = 2, // generation, manifest and digests of a configuration that the sender has completely
  ChunkRequest = 3, // digest and offset; answered with Chunk
  Chunk = 4         // bytes of one content at an offset
};

struct ContentMessage
{
  ContentMessageKind kind = ContentMessageKind::NoticeRequest;
  std::uint64_t generation = 0;
  std::string manifest;
  std::vector<std::string> digests; // SHA-256, hexadecimal
  std::string digest;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string bytes;

  bool operator==(const ContentMessage&) const = default;
};

struct OutgoingSpreadMessage
{
  std::string address;
  std::variant<SpreadMessage, ContentMessage> message;

  bool operator==(const OutgoingSpreadMessage&) const = default;
};

} // namespace masticstep
