#include "masticstep/peering/PeerMessage.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace masticstep {

namespace {

constexpr std::int64_t kMaximumAgeMs = std::numeric_limits<std::uint32_t>::max();

wire::Message ToFrame(const MembershipMessage& aMessage)
{
  wire::MembershipFrame frame{ static_cast<std::uint8_t>(aMessage.kind),
                               aMessage.sequence,
                               aMessage.digest,
                               aMessage.target,
                               {} };
  frame.records.reserve(aMessage.records.size());
  for (const MemberRecord& record : aMessage.records) {
    frame.records.push_back({ record.name.Text(), record.address, record.dataCentre.Text(),
                              record.region.Text(), record.incarnation,
                              static_cast<std::uint8_t>(record.state) });
  }
  return frame;
}

wire::Message ToFrame(const SpreadMessage& aMessage)
{
  wire::SpreadFrame frame;
  frame.kind = static_cast<std::uint8_t>(aMessage.kind);
  frame.generation = aMessage.generation;
  frame.hashes = aMessage.hashes;
  frame.compact.reserve(aMessage.compact.size());
  for (const CompactEntry& entry : aMessage.compact) {
    frame.compact.push_back(
      { entry.keyHash, entry.versionLow, entry.ownerTag, entry.ageMs, entry.value });
  }
  frame.full.reserve(aMessage.full.size());
  for (const Entry& entry : aMessage.full) {
    const std::int64_t ageMs = std::min<std::int64_t>(entry.age / Milliseconds(1), kMaximumAgeMs);
    frame.full.push_back({ static_cast<std::uint8_t>(entry.key.kind), entry.key.name,
                           entry.owner.Text(), entry.version, static_cast<std::uint32_t>(ageMs),
                           entry.value });
  }
  frame.versions.reserve(aMessage.versions.size());
  for (const KeyVersion& item : aMessage.versions) {
    frame.versions.push_back({ item.keyHash, item.version, item.ownerHash });
  }
  return frame;
}

wire::Message ToFrame(const ContentMessage& aMessage)
{
  return wire::ContentFrame{ static_cast<std::uint8_t>(aMessage.kind),
                             aMessage.generation,
                             aMessage.manifest,
                             aMessage.digests,
                             aMessage.digest,
                             aMessage.offset,
                             aMessage.total,
                             aMessage.bytes };
}

std::optional<PeerMessage> FromFrame(const wire::Hello&)
{
  return std::nullopt;
}

std::optional<PeerMessage> FromFrame(const wire::MembershipFrame& aFrame)
{
  if (aFrame.kind > static_cast<std::uint8_t>(MembershipMessageKind::Update)) {
    return std::nullopt;
  }
  MembershipMessage message{ static_cast<MembershipMessageKind>(aFrame.kind),
                             aFrame.sequence,
                             aFrame.digest,
                             aFrame.target,
                             {} };
  for (const wire::MemberFields& fields : aFrame.records) {
    const bool isKnown = fields.state <= static_cast<std::uint8_t>(MemberState::Left);
    if (!isKnown || fields.name.empty() || fields.address.empty() || fields.dataCentre.empty()) {
      continue;
    }
    message.records.push_back({ HostName(fields.name), fields.address,
                                DataCentreName(fields.dataCentre), RegionName(fields.region),
                                fields.incarnation, static_cast<MemberState>(fields.state) });
  }
  return message;
}

std::optional<PeerMessage> FromFrame(const wire::SpreadFrame& aFrame)
{
  if (aFrame.kind < static_cast<std::uint8_t>(SpreadMessageKind::Delta) ||
      aFrame.kind > static_cast<std::uint8_t>(SpreadMessageKind::Graft)) {
    return std::nullopt;
  }
  SpreadMessage message;
  message.kind = static_cast<SpreadMessageKind>(aFrame.kind);
  message.generation = aFrame.generation;
  message.hashes = aFrame.hashes;
  for (const wire::CompactEntryFields& entry : aFrame.compact) {
    message.compact.push_back(
      { entry.keyHash, entry.versionLow, entry.ownerTag, entry.ageMs, entry.value });
  }
  for (const wire::FullEntryFields& entry : aFrame.full) {
    const EntryKind kind = static_cast<EntryKind>(entry.kind);
    if (!PolicyOf(kind).isKnown || entry.name.empty() || entry.owner.empty()) {
      continue;
    }
    message.full.push_back({ { kind, entry.name },
                             HostName(entry.owner),
                             entry.version,
                             Milliseconds(entry.ageMs),
                             entry.value });
  }
  for (const wire::KeyVersionFields& item : aFrame.versions) {
    message.versions.push_back({ item.keyHash, item.version, item.ownerHash });
  }
  return message;
}

std::optional<PeerMessage> FromFrame(const wire::ContentFrame& aFrame)
{
  if (aFrame.kind < static_cast<std::uint8_t>(ContentMessageKind::NoticeRequest) ||
      aFrame.kind > static_cast<std::uint8_t>(ContentMessageKind::Chunk)) {
    return std::nullopt;
  }
  return ContentMessage{ static_cast<ContentMessageKind>(aFrame.kind),
                         aFrame.generation,
                         aFrame.manifest,
                         aFrame.digests,
                         aFrame.digest,
                         aFrame.offset,
                         aFrame.total,
                         aFrame.bytes };
}

} // namespace

wire::Message ToWire(const PeerMessage& aMessage)
{
  return std::visit([](const auto& aBody) { return ToFrame(aBody); }, aMessage);
}

std::optional<PeerMessage> FromWire(const wire::Message& aMessage)
{
  return std::visit([](const auto& aBody) { return FromFrame(aBody); }, aMessage);
}

} // namespace masticstep
