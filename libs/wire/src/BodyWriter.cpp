#include "BodyWriter.hpp"

#include "generated/peer_generated.h"

#include <type_traits>

namespace masticstep::wire {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Text = flatbuffers::Offset<flatbuffers::String>;
using Bytes = flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>;

// An empty string is omitted from the buffer; the reader returns it as empty.
Text WriteText(Builder& aBuilder, const std::string& aText)
{
  return aText.empty() ? Text{} : aBuilder.CreateString(aText);
}

// Stores strings that repeat within a frame, such as data centres and owners, only once.
Text WriteShared(Builder& aBuilder, const std::string& aText)
{
  return aText.empty() ? Text{} : aBuilder.CreateSharedString(aText);
}

Bytes WriteBytes(Builder& aBuilder, const std::string& aBytes)
{
  if (aBytes.empty()) {
    return {};
  }
  return aBuilder.CreateVector(reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

template <class Item>
flatbuffers::Offset<flatbuffers::Vector<Item>> WriteItems(Builder& aBuilder,
                                                          const std::vector<Item>& aItems)
{
  return aItems.empty() ? 0 : aBuilder.CreateVector(aItems);
}

template <class Item>
flatbuffers::Offset<flatbuffers::Vector<const Item*>> WriteStructs(Builder& aBuilder,
                                                                   const std::vector<Item>& aItems)
{
  return aItems.empty() ? 0 : aBuilder.CreateVectorOfStructs(aItems);
}

void Write(Builder& aBuilder, const Hello& aHello)
{
  const Text name = WriteText(aBuilder, aHello.name);
  const Text address = WriteText(aBuilder, aHello.address);
  const Text dataCentre = WriteText(aBuilder, aHello.dataCentre);
  const Text region = WriteText(aBuilder, aHello.region);
  aBuilder.Finish(fb::CreateHello(aBuilder, name, address, dataCentre, region, aHello.replyWanted));
}

flatbuffers::Offset<fb::Member> WriteMember(Builder& aBuilder, const MemberFields& aMember)
{
  const Text name = WriteText(aBuilder, aMember.name);
  const Text address = WriteText(aBuilder, aMember.address);
  const Text dataCentre = WriteShared(aBuilder, aMember.dataCentre);
  const Text region = WriteShared(aBuilder, aMember.region);
  const fb::MemberNumbers numbers(aMember.incarnation, aMember.state);
  return fb::CreateMember(aBuilder, name, address, dataCentre, region, &numbers);
}

void Write(Builder& aBuilder, const MembershipFrame& aFrame)
{
  std::vector<flatbuffers::Offset<fb::Member>> records;
  for (const MemberFields& member : aFrame.records) {
    records.push_back(WriteMember(aBuilder, member));
  }
  const Text target = WriteText(aBuilder, aFrame.target);
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::Member>>> list =
    WriteItems(aBuilder, records);
  aBuilder.Finish(
    fb::CreateMembership(aBuilder, aFrame.kind, aFrame.sequence, aFrame.digest, target, list));
}

// Appends a variable-length size prefix (7 bits per byte, least significant first) and the
// value.
void AppendLengthPrefixed(std::string& aOut, const std::string& aValue)
{
  std::size_t size = aValue.size();
  for (; size >= 0x80U; size >>= 7U) {
    aOut += static_cast<char>((size & 0x7fU) | 0x80U);
  }
  aOut += static_cast<char>(size);
  aOut += aValue;
}

void Write(Builder& aBuilder, const SpreadFrame& aFrame)
{
  std::vector<fb::CompactEntry> compact;
  std::string values;
  for (const CompactEntryFields& entry : aFrame.compact) {
    compact.emplace_back(entry.keyHash, entry.versionLow, entry.ownerTag, entry.ageMs);
    AppendLengthPrefixed(values, entry.value);
  }
  std::vector<flatbuffers::Offset<fb::FullEntry>> full;
  for (const FullEntryFields& entry : aFrame.full) {
    const Text name = WriteText(aBuilder, entry.name);
    const Text owner = WriteShared(aBuilder, entry.owner);
    const Bytes value = WriteBytes(aBuilder, entry.value);
    full.push_back(
      fb::CreateFullEntry(aBuilder, entry.kind, name, owner, entry.version, entry.ageMs, value));
  }
  std::vector<fb::KeyVersion> versions;
  for (const KeyVersionFields& version : aFrame.versions) {
    versions.emplace_back(version.keyHash, version.version, version.ownerHash);
  }
  const flatbuffers::Offset<flatbuffers::Vector<const fb::CompactEntry*>> compactList =
    WriteStructs(aBuilder, compact);
  const Bytes valueBytes = WriteBytes(aBuilder, values);
  const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::FullEntry>>> fullList =
    WriteItems(aBuilder, full);
  const flatbuffers::Offset<flatbuffers::Vector<const fb::KeyVersion*>> versionList =
    WriteStructs(aBuilder, versions);
  const flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> hashes =
    WriteItems(aBuilder, aFrame.hashes);
  aBuilder.Finish(fb::CreateSpread(aBuilder, aFrame.kind, aFrame.generation, compactList,
                                   valueBytes, fullList, versionList, hashes));
}

void Write(Builder& aBuilder, const ContentFrame& aFrame)
{
  std::vector<Text> digests;
  for (const std::string& digest : aFrame.digests) {
    digests.push_back(aBuilder.CreateString(digest));
  }
  const Bytes manifest = WriteBytes(aBuilder, aFrame.manifest);
  const flatbuffers::Offset<flatbuffers::Vector<Text>> list = WriteItems(aBuilder, digests);
  const Text digest = WriteText(aBuilder, aFrame.digest);
  const Bytes bytes = WriteBytes(aBuilder, aFrame.bytes);
  aBuilder.Finish(fb::CreateContent(aBuilder, aFrame.kind, aFrame.generation, manifest, list,
                                    digest, aFrame.offset, aFrame.total, bytes));
}

} // namespace

FrameType TypeOf(const Message& aMessage)
{
  return static_cast<FrameType>(aMessage.index() + 1);
}

void WriteBody(flatbuffers::FlatBufferBuilder& aBuilder, const Message& aMessage)
{
  std::visit([&aBuilder](const auto& aBody) { Write(aBuilder, aBody); }, aMessage);
}

} // namespace masticstep::wire
