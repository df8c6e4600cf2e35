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

// Shards per bucket and service.
constexpr std::uint32_t kShardsPerBucket = 4;
// 2,500 records of this size fit into the 1 MiB object limit of the platform.
constexpr std::size_t kMaximumRecordBytes = 400;
constexpr std::size_t kMaximumInlineBodyBytes = 200;

// Identifies a shard object.
struct ShardKey
{
  ServiceName service;
  std::uint64_t bucket = 0;
  std::uint32_t shard = 0;

  auto operator<=>(const ShardKey&) const = default;
};

using Records = std::map<ClaimKey, ClaimRecord>;

// Returns the shard of a claim, a hash of account and key that is identical on every host.
std::uint32_t ShardOf(const ClaimKey& aKey);

// Returns orders/{service}/{bucket}/{shard}.
platform::ObjectKey ObjectOf(const ShardKey& aKey);
// Returns orders/{service}/{bucket}/outcome-{name}. The bucket in the path lets retention delete
// the object together with its bucket.
platform::ObjectKey OutcomeObjectOf(const ShardKey& aKey, std::string_view aName);
// Returns orders/{service}/floor.
platform::ObjectKey FloorObjectOf(const ServiceName& aService);

// Appends the JSON text of one record.
void AppendRecord(const ClaimRecord& aRecord, std::string& aText);
std::string EncodeRecords(const Records& aRecords);
// Returns nullopt if the text is not a valid shard object.
std::optional<Records> ParseRecords(std::string_view aText);

// The floor is the oldest retained bucket; records in older buckets are expired.
std::string EncodeFloor(std::uint64_t aBucket);
std::optional<std::uint64_t> ParseFloor(std::string_view aText);

// Outcome objects hold the outcomes whose bodies are too long for their records.
std::string EncodeOutcomes(const std::vector<CallOutcome>& aOutcomes);
std::optional<CallOutcome> ParseOutcome(std::string_view aText, std::uint32_t aIndex);

} // namespace masticstep::orders
