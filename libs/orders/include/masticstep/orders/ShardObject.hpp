#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/orders/ClaimRecord.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::orders {

// Number of shards of one bucket and service.
constexpr std::uint32_t kShardsPerBucket = 4;
// 2,500 records of this size stay below the platform's limit of 1 MiB.
constexpr std::size_t kMaximumRecordBytes = 400;
constexpr std::size_t kMaximumInlineBodyBytes = 200;

// Address of a shard object.
struct ShardKey
{
  ServiceName service;
  std::uint64_t bucket = 0;
  std::uint32_t shard = 0;

  auto operator<=>(const ShardKey&) const = default;
};

using Records = std::map<ClaimKey, ClaimRecord>;

// Returns the shard of a claim: a hash of account and key, the same on every host.
std::uint32_t ShardOf(const ClaimKey& aKey);

// Returns orders/{service}/{bucket}/{shard}.
platform::ObjectKey ObjectOf(const ShardKey& aKey);
// Returns orders/{service}/{bucket}/outcome-{name}, so that it is dropped with its bucket.
platform::ObjectKey OutcomeObjectOf(const ShardKey& aKey, std::string_view aName);
// Returns orders/{service}/floor.
platform::ObjectKey FloorObjectOf(const ServiceName& aService);

// Appends the JSON text of one record.
void AppendRecord(const ClaimRecord& aRecord, std::string& aText);
std::string EncodeRecords(const Records& aRecords);
// Returns nothing if the text is not the content of a shard object.
std::optional<Records> ParseRecords(std::string_view aText);

// The floor is the oldest bucket that still counts.
std::string EncodeFloor(std::uint64_t aBucket);
std::optional<std::uint64_t> ParseFloor(std::string_view aText);

// Content of an outcome object: outcomes whose bodies are too long for their records.
std::string EncodeOutcomes(const std::vector<CallOutcome>& aOutcomes);
std::optional<CallOutcome> ParseOutcome(std::string_view aText, std::uint32_t aIndex);

} // namespace masticstep::orders
