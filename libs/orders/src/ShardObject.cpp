#include "masticstep/orders/ShardObject.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/base/ObjectReader.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace masticstep::orders {

namespace {

const std::string kSourceName = "orders";
const std::vector<std::string> kOutcomeKindNames{ "executed", "not_run", "not_kept" };
constexpr IntegerRange kNonNegative{ 0, INT64_MAX };
constexpr IntegerRange kUint32Range{ 0, UINT32_MAX };

std::string Quoted(std::string_view aValue)
{
  return boost::json::serialize(boost::json::string_view(aValue.data(), aValue.size()));
}

// Omits empty values because ObjectReader rejects empty strings.
void AppendText(std::string_view aName, std::string_view aValue, std::string& aText)
{
  if (aValue.empty()) {
    return;
  }
  aText += aText.back() == '{' ? "\"" : ",\"";
  aText += aName;
  aText += "\":";
  aText += Quoted(aValue);
}

void AppendNumber(std::string_view aName, std::uint64_t aValue, std::string& aText)
{
  aText += aText.back() == '{' ? "\"" : ",\"";
  aText += aName;
  aText += "\":" + std::to_string(aValue);
}

std::string ToHex(std::string_view aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char byte : aBytes) {
    text += kDigits[static_cast<unsigned char>(byte) >> 4U];
    text += kDigits[static_cast<unsigned char>(byte) & 15U];
  }
  return text;
}

std::optional<std::uint8_t> HexValue(char aDigit)
{
  const char* end = &aDigit + 1;
  std::uint8_t value = 0;
  if (std::from_chars(&aDigit, end, value, 16).ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Returns nullopt if the text does not consist of pairs of hexadecimal digits.
std::optional<std::string> FromHex(std::string_view aText)
{
  if (aText.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t i = 0; i < aText.size(); i += 2) {
    const std::optional<std::uint8_t> high = HexValue(aText[i]);
    const std::optional<std::uint8_t> low = HexValue(aText[i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    bytes += static_cast<char>(*high * 16 + *low);
  }
  return bytes;
}

// JSON text must be valid UTF-8; other bodies are stored in hexadecimal.
void AppendBody(const std::string& aBody, std::string& aText)
{
  boost::system::error_code ec;
  boost::json::parse(Quoted(aBody), ec);
  if (ec) {
    AppendText("body_hex", ToHex(aBody), aText);
  } else {
    AppendText("body", aBody, aText);
  }
}

void AppendOutcome(const CallOutcome& aOutcome, std::string& aText)
{
  aText += '{';
  // Omits the default kind, and the status of a reference, which is stored in the outcome object:
  // with both, the longest record would take 422 bytes, more than kMaximumRecordBytes.
  if (aOutcome.kind != OutcomeKind::Executed) {
    AppendText("kind", kOutcomeKindNames.at(static_cast<std::size_t>(aOutcome.kind)), aText);
  }
  if (!aOutcome.object.empty()) {
    AppendText("object", aOutcome.object, aText);
    AppendNumber("index", aOutcome.index, aText);
  } else {
    AppendNumber("status", aOutcome.status, aText);
    AppendText("type", aOutcome.contentType, aText);
    AppendBody(aOutcome.body, aText);
  }
  aText += '}';
}

CallOutcome ReadOutcome(ObjectReader& aReader)
{
  CallOutcome outcome;
  if (aReader.Has("kind")) {
    outcome.kind = static_cast<OutcomeKind>(aReader.RequiredChoice("kind", kOutcomeKindNames));
  } else {
    outcome.kind = OutcomeKind::Executed;
  }
  outcome.status = static_cast<std::uint32_t>(aReader.OptionalInteger("status", kUint32Range, 0));
  outcome.object = aReader.OptionalString("object", "");
  outcome.index = static_cast<std::uint32_t>(aReader.OptionalInteger("index", kUint32Range, 0));
  outcome.contentType = aReader.OptionalString("type", "");
  outcome.body = aReader.OptionalString("body", "");
  if (aReader.Has("body_hex")) {
    std::optional<std::string> body = FromHex(aReader.RequiredString("body_hex"));
    if (!body) {
      aReader.Report("body_hex", "not hexadecimal", "pairs of hexadecimal digits");
    }
    outcome.body = std::move(body).value_or("");
  }
  return outcome;
}

ClaimRecord ReadRecord(ObjectReader& aReader)
{
  ClaimRecord record;
  record.key = { AccountName{ aReader.RequiredString("account") }, aReader.RequiredString("key") };
  record.digest = aReader.RequiredString("digest");
  record.nonce = aReader.RequiredString("nonce");
  record.daemon = HostName{ aReader.OptionalString("daemon", "") };
  std::optional<ObjectReader> outcome = aReader.OptionalObject("outcome");
  if (outcome) {
    record.outcome = ReadOutcome(*outcome);
  }
  return record;
}

std::string FolderOf(const ShardKey& aKey)
{
  std::array<char, 24> number{};
  std::snprintf(number.data(), number.size(), "%010llu",
                static_cast<unsigned long long>(aKey.bucket));
  return "orders/" + aKey.service.Text() + "/" + number.data() + "/";
}

} // namespace

std::uint32_t ShardOf(const ClaimKey& aKey)
{
  return static_cast<std::uint32_t>(Hash64(aKey.account.Text() + "\n" + aKey.key) %
                                    kShardsPerBucket);
}

platform::ObjectKey ObjectOf(const ShardKey& aKey)
{
  return platform::ObjectKey{ FolderOf(aKey) + std::to_string(aKey.shard) };
}

platform::ObjectKey OutcomeObjectOf(const ShardKey& aKey, std::string_view aName)
{
  return platform::ObjectKey{ FolderOf(aKey) + "outcome-" + std::string(aName) };
}

platform::ObjectKey FloorObjectOf(const ServiceName& aService)
{
  return platform::ObjectKey{ "orders/" + aService.Text() + "/floor" };
}

void AppendRecord(const ClaimRecord& aRecord, std::string& aText)
{
  aText += '{';
  AppendText("account", aRecord.key.account.Text(), aText);
  AppendText("key", aRecord.key.key, aText);
  AppendText("digest", aRecord.digest, aText);
  AppendText("nonce", aRecord.nonce, aText);
  AppendText("daemon", aRecord.daemon.Text(), aText);
  if (aRecord.outcome) {
    aText += ",\"outcome\":";
    AppendOutcome(*aRecord.outcome, aText);
  }
  aText += '}';
}

std::string EncodeRecords(const Records& aRecords)
{
  std::string text = "{\"records\":[";
  text.reserve(text.size() + aRecords.size() * kMaximumRecordBytes);
  for (const Records::value_type& item : aRecords) {
    text += text.back() == '[' ? "" : ",";
    AppendRecord(item.second, text);
  }
  return text + "]}";
}

std::optional<Records> ParseRecords(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kSourceName, faults);
  if (!object) {
    return std::nullopt;
  }
  Records records;
  ObjectReader reader(*object, kSourceName, "$", faults);
  for (ObjectReader& item : reader.ObjectList("records", true)) {
    ClaimRecord record = ReadRecord(item);
    records.emplace(record.key, std::move(record));
  }
  return faults.empty() ? std::optional<Records>(std::move(records)) : std::nullopt;
}

std::string EncodeFloor(std::uint64_t aBucket)
{
  return "{\"floor\":" + std::to_string(aBucket) + "}";
}

std::optional<std::uint64_t> ParseFloor(std::string_view aText)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kSourceName, faults);
  if (!object) {
    return std::nullopt;
  }
  ObjectReader reader(*object, kSourceName, "$", faults);
  const std::int64_t floor = reader.RequiredInteger("floor", kNonNegative);
  return faults.empty() ? std::optional<std::uint64_t>(floor) : std::nullopt;
}

std::string EncodeOutcomes(const std::vector<CallOutcome>& aOutcomes)
{
  std::string text = "{\"outcomes\":[";
  for (const CallOutcome& outcome : aOutcomes) {
    text += text.back() == '[' ? "" : ",";
    AppendOutcome(outcome, text);
  }
  return text + "]}";
}

std::optional<CallOutcome> ParseOutcome(std::string_view aText, std::uint32_t aIndex)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, kSourceName, faults);
  if (!object) {
    return std::nullopt;
  }
  ObjectReader reader(*object, kSourceName, "$", faults);
  std::vector<ObjectReader> items = reader.ObjectList("outcomes", true);
  if (aIndex >= items.size()) {
    return std::nullopt;
  }
  CallOutcome outcome = ReadOutcome(items[aIndex]);
  return faults.empty() ? std::optional<CallOutcome>(std::move(outcome)) : std::nullopt;
}

} // namespace masticstep::orders
