#include "BodyReader.hpp"

#include "generated/peer_generated.h"

namespace masticstep::wire {

namespace {

std::string ReadText(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

std::string ReadBytes(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  if (aBytes == nullptr) {
    return {};
  }
  return { reinterpret_cast<const char*>(aBytes->data()), aBytes->size() };
}

// Verifies the structure, so that field access cannot leave the buffer. Returns null if it is
// invalid.
template <class Table>
const Table* VerifyRoot(std::string_view aBody)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBody.data());
  flatbuffers::Verifier verifier(bytes, aBody.size());
  return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

std::optional<Message> ReadHello(std::string_view aBody)
{
  const fb::Hello* table = VerifyRoot<fb::Hello>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  return Hello{ ReadText(table->name()), ReadText(table->address()), ReadText(table->data_centre()),
                ReadText(table->region()), table->reply_wanted() };
}

std::optional<Message> ReadMembership(std::string_view aBody)
{
  const fb::Membership* table = VerifyRoot<fb::Membership>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  MembershipFrame frame{
    table->kind(), table->sequence(), table->digest(), ReadText(table->target()), {}
  };
  if (table->records() == nullptr) {
    return frame;
  }
  for (const fb::Member* member : *table->records()) {
    if (member->numbers() == nullptr) {
      return std::nullopt;
    }
    frame.records.push_back({ ReadText(member->name()), ReadText(member->address()),
                              ReadText(member->data_centre()), ReadText(member->region()),
                              member->numbers()->incarnation(), member->numbers()->state() });
  }
  return frame;
}

// Removes a value with a variable-length size prefix (7 bits per byte, least significant first)
// from the front of the input. Returns nullopt if the value is truncated or larger than 65535
// bytes.
std::optional<std::string> ReadLengthPrefixed(std::string_view& aIn)
{
  std::size_t size = 0;
  for (unsigned shift = 0; shift <= 14; shift += 7) {
    if (aIn.empty()) {
      return std::nullopt;
    }
    const unsigned char group = static_cast<unsigned char>(aIn.front());
    aIn.remove_prefix(1);
    size |= static_cast<std::size_t>(group & 0x7fU) << shift;
    if (group >= 0x80U) {
      continue;
    }
    if (size > aIn.size() || size > 0xffffU) {
      return std::nullopt;
    }
    std::string value(aIn.substr(0, size));
    aIn.remove_prefix(size);
    return value;
  }
  return std::nullopt;
}

// Splits the concatenated values of the compact entries. Returns false if their sizes do not add
// up to the input size.
bool ReadCompactEntries(const fb::Spread& aTable, SpreadFrame& aFrame)
{
  const std::string values = ReadBytes(aTable.compact_values());
  std::string_view rest = values;
  if (aTable.compact() != nullptr) {
    for (const fb::CompactEntry* entry : *aTable.compact()) {
      std::optional<std::string> value = ReadLengthPrefixed(rest);
      if (!value) {
        return false;
      }
      aFrame.compact.push_back({ entry->key_hash(), entry->version_low(), entry->owner_tag(),
                                 entry->age_ms(), *std::move(value) });
    }
  }
  return rest.empty();
}

std::optional<Message> ReadSpread(std::string_view aBody)
{
  const fb::Spread* table = VerifyRoot<fb::Spread>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  SpreadFrame frame;
  frame.kind = table->kind();
  frame.generation = table->generation();
  if (!ReadCompactEntries(*table, frame)) {
    return std::nullopt;
  }
  if (table->full() != nullptr) {
    for (const fb::FullEntry* entry : *table->full()) {
      frame.full.push_back({ entry->kind(), ReadText(entry->name()), ReadText(entry->owner()),
                             entry->version(), entry->age_ms(), ReadBytes(entry->value()) });
    }
  }
  if (table->versions() != nullptr) {
    for (const fb::KeyVersion* version : *table->versions()) {
      frame.versions.push_back({ version->key_hash(), version->version(), version->owner_hash() });
    }
  }
  if (table->hashes() != nullptr) {
    frame.hashes.assign(table->hashes()->begin(), table->hashes()->end());
  }
  return frame;
}

std::optional<Message> ReadContent(std::string_view aBody)
{
  const fb::Content* table = VerifyRoot<fb::Content>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  ContentFrame frame{ table->kind(),
                      table->generation(),
                      ReadBytes(table->manifest()),
                      {},
                      ReadText(table->digest()),
                      table->offset(),
                      table->total(),
                      ReadBytes(table->bytes()) };
  if (table->digests() != nullptr) {
    for (const flatbuffers::String* digest : *table->digests()) {
      frame.digests.push_back(digest->str());
    }
  }
  return frame;
}

} // namespace

std::optional<Message> ReadBody(FrameType aType, std::string_view aBody)
{
  switch (aType) {
    case FrameType::Hello:
      return ReadHello(aBody);
    case FrameType::Membership:
      return ReadMembership(aBody);
    case FrameType::Spread:
      return ReadSpread(aBody);
    case FrameType::Content:
      return ReadContent(aBody);
  }
  return std::nullopt;
}

} // namespace masticstep::wire
