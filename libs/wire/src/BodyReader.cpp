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

// Verifies the structure, so that reading cannot leave the buffer.
template <class Table>
const Table* Verified(std::string_view aBody)
{
  const std::uint8_t* bytes = reinterpret_cast<const std::uint8_t*>(aBody.data());
  flatbuffers::Verifier verifier(bytes, aBody.size());
  return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

std::optional<Message> ReadHello(std::string_view aBody)
{
  const fb::Hello* table = Verified<fb::Hello>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  return Hello{ ReadText(table->name()), ReadText(table->address()), ReadText(table->data_centre()),
                ReadText(table->region()), table->reply_wanted() };
}

std::optional<Message> ReadMembership(std::string_view aBody)
{
  const fb::Membership* table = Verified<fb::Membership>(aBody);
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

// Takes a size in groups of 7 bits and as many bytes from the front. Sizes above 65535 are refused.
std::optional<std::string> TakeSized(std::string_view& aIn)
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

// Cuts the joined values apart. Returns false if the sizes do not add up.
bool ReadCompact(const fb::Spread& aTable, SpreadFrame& aFrame)
{
  const std::string values = ReadBytes(aTable.compact_values());
  std::string_view rest = values;
  if (aTable.compact() != nullptr) {
    for (const fb::CompactEntry* entry : *aTable.compact()) {
      std::optional<std::string> value = TakeSized(rest);
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
  const fb::Spread* table = Verified<fb::Spread>(aBody);
  if (table == nullptr) {
    return std::nullopt;
  }
  SpreadFrame frame;
  frame.kind = table->kind();
  frame.generation = table->generation();
  if (!ReadCompact(*table, frame)) {
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
  const fb::Content* table = Verified<fb::Content>(aBody);
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
