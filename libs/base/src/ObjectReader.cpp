#include "masticstep/base/ObjectReader.hpp"

#include "DuplicateKeyFinder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep {

namespace {

constexpr std::size_t kMaximumNameLength = 64;
constexpr std::string_view kNameRule = "1 to 64 characters from a-z, 0-9, '.', '_' and '-'";

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= '0' && aCharacter <= '9') ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '-';
}

std::string RangeText(IntegerRange aRange)
{
  return "integer from " + std::to_string(aRange.minimum) + " to " + std::to_string(aRange.maximum);
}

std::string NumberText(double aNumber)
{
  return boost::json::serialize(boost::json::value(aNumber));
}

} // namespace

std::optional<boost::json::object> ParseObject(std::string_view aText, const std::string& aFile,
                                               Faults& aFaults)
{
  boost::system::error_code ec;
  boost::json::value value =
    boost::json::parse(boost::json::string_view(aText.data(), aText.size()), ec);
  if (ec) {
    aFaults.push_back({ aFile, "$", "not valid JSON: " + ec.message(), "one JSON object" });
    return std::nullopt;
  }
  if (!value.is_object()) {
    aFaults.push_back({ aFile, "$", "not an object", "one JSON object" });
    return std::nullopt;
  }
  const std::vector<std::string> duplicates = FindDuplicateKeys(aText);
  for (const std::string& path : duplicates) {
    aFaults.push_back({ aFile, path, "key appears more than once", "each key once" });
  }
  if (!duplicates.empty()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

ObjectReader::ObjectReader(const boost::json::object& aObject, std::string aFile, std::string aPath,
                           Faults& aFaults)
  : mObject(&aObject)
  , mFile(std::move(aFile))
  , mPath(std::move(aPath))
  , mFaults(&aFaults)
{
}

bool ObjectReader::Has(std::string_view aKey) const
{
  return mObject->contains(boost::json::string_view(aKey.data(), aKey.size()));
}

std::string ObjectReader::PathOf(std::string_view aKey) const
{
  return aKey.empty() ? mPath : mPath + "." + std::string(aKey);
}

const boost::json::value* ObjectReader::Find(std::string_view aKey, bool aRequired)
{
  mKnownKeys.emplace(aKey);
  const boost::json::value* found =
    mObject->if_contains(boost::json::string_view(aKey.data(), aKey.size()));
  if (found == nullptr && aRequired) {
    Report(aKey, "missing");
  }
  return found;
}

void ObjectReader::Report(std::string_view aKey, std::string aProblem, std::string aAllowed)
{
  mFaults->push_back({ mFile, PathOf(aKey), std::move(aProblem), std::move(aAllowed) });
}

std::string ObjectReader::RequiredString(std::string_view aKey)
{
  const boost::json::value* found = Find(aKey, true);
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string() || found->get_string().empty()) {
    Report(aKey, "not a string with content", "non-empty string");
    return {};
  }
  return std::string(found->get_string());
}

std::string ObjectReader::OptionalString(std::string_view aKey, std::string aDefault)
{
  return Find(aKey, false) == nullptr ? std::move(aDefault) : RequiredString(aKey);
}

std::string ObjectReader::RequiredName(std::string_view aKey)
{
  std::string text = RequiredString(aKey);
  if (text.empty()) {
    return text;
  }
  if (text.size() > kMaximumNameLength || !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    Report(aKey, "'" + text + "' is not a name", std::string(kNameRule));
    return {};
  }
  return text;
}

std::int64_t ObjectReader::RequiredInteger(std::string_view aKey, IntegerRange aRange)
{
  const boost::json::value* found = Find(aKey, true);
  if (found == nullptr) {
    return aRange.minimum;
  }
  if (!found->is_int64()) {
    Report(aKey, "not an integer", RangeText(aRange));
    return aRange.minimum;
  }
  const std::int64_t n = found->get_int64();
  if (n < aRange.minimum || n > aRange.maximum) {
    Report(aKey, std::to_string(n) + " is out of range", RangeText(aRange));
    return aRange.minimum;
  }
  return n;
}

std::int64_t ObjectReader::OptionalInteger(std::string_view aKey, IntegerRange aRange,
                                           std::int64_t aDefault)
{
  return Find(aKey, false) == nullptr ? aDefault : RequiredInteger(aKey, aRange);
}

double ObjectReader::OptionalNumber(std::string_view aKey, double aMinimum, double aMaximum,
                                    double aDefault)
{
  const boost::json::value* found = Find(aKey, false);
  if (found == nullptr) {
    return aDefault;
  }
  const std::string allowed = "number from " + NumberText(aMinimum) + " to " + NumberText(aMaximum);
  if (!found->is_number()) {
    Report(aKey, "not a number", allowed);
    return aDefault;
  }
  const double n = found->to_number<double>();
  if (!std::isfinite(n) || n < aMinimum || n > aMaximum) {
    Report(aKey, NumberText(n) + " is out of range", allowed);
    return aDefault;
  }
  return n;
}

std::map<std::string, double> ObjectReader::RequiredNumbers(std::string_view aKey, double aMinimum,
                                                            double aMaximum)
{
  std::map<std::string, double> numbers;
  const boost::json::value* found = Find(aKey, true);
  if (found == nullptr) {
    return numbers;
  }
  if (!found->is_object()) {
    Report(aKey, "not an object", "object of numbers");
    return numbers;
  }
  ObjectReader members(found->get_object(), mFile, PathOf(aKey), *mFaults);
  for (const boost::json::key_value_pair& member : found->get_object()) {
    numbers[std::string(member.key())] =
      members.OptionalNumber(member.key(), aMinimum, aMaximum, aMinimum);
  }
  return numbers;
}

bool ObjectReader::RequiredBoolean(std::string_view aKey)
{
  const boost::json::value* found = Find(aKey, true);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_bool()) {
    Report(aKey, "not a boolean", "true or false");
    return false;
  }
  return found->get_bool();
}

bool ObjectReader::OptionalBoolean(std::string_view aKey, bool aDefault)
{
  return Find(aKey, false) == nullptr ? aDefault : RequiredBoolean(aKey);
}

std::size_t ObjectReader::RequiredChoice(std::string_view aKey,
                                         const std::vector<std::string>& aChoices)
{
  const std::string text = RequiredString(aKey);
  if (text.empty()) {
    return 0;
  }
  for (std::size_t i = 0; i < aChoices.size(); ++i) {
    if (aChoices[i] == text) {
      return i;
    }
  }
  std::string allowed;
  for (const std::string& choice : aChoices) {
    allowed += (allowed.empty() ? "'" : ", '") + choice + "'";
  }
  Report(aKey, "unknown value '" + text + "'", allowed);
  return 0;
}

std::vector<std::string> ObjectReader::StringList(std::string_view aKey, bool aRequired)
{
  std::vector<std::string> texts;
  const boost::json::value* found = Find(aKey, aRequired);
  if (found == nullptr) {
    return texts;
  }
  if (!found->is_array()) {
    Report(aKey, "not an array", "array of strings");
    return texts;
  }
  for (const boost::json::value& item : found->get_array()) {
    if (!item.is_string()) {
      Report(aKey, "array item is not a string", "array of strings");
      continue;
    }
    texts.emplace_back(item.get_string());
  }
  return texts;
}

std::vector<ObjectReader> ObjectReader::ObjectList(std::string_view aKey, bool aRequired)
{
  std::vector<ObjectReader> readers;
  const boost::json::value* found = Find(aKey, aRequired);
  if (found == nullptr) {
    return readers;
  }
  if (!found->is_array()) {
    Report(aKey, "not an array", "array of objects");
    return readers;
  }
  std::size_t index = 0;
  for (const boost::json::value& item : found->get_array()) {
    const std::string key = std::string(aKey) + "[" + std::to_string(index++) + "]";
    if (!item.is_object()) {
      Report(key, "not an object", "object");
      continue;
    }
    readers.emplace_back(item.get_object(), mFile, PathOf(key), *mFaults);
  }
  return readers;
}

std::optional<ObjectReader> ObjectReader::OptionalObject(std::string_view aKey)
{
  const boost::json::value* found = Find(aKey, false);
  if (found == nullptr) {
    return std::nullopt;
  }
  if (!found->is_object()) {
    Report(aKey, "not an object", "object");
    return std::nullopt;
  }
  return ObjectReader(found->get_object(), mFile, PathOf(aKey), *mFaults);
}

void ObjectReader::Finish()
{
  std::string allowed;
  for (const std::string& key : mKnownKeys) {
    allowed += (allowed.empty() ? "" : ", ") + key;
  }
  for (const boost::json::key_value_pair& member : *mObject) {
    const std::string key(member.key());
    if (!mKnownKeys.contains(key)) {
      Report(key, "unknown key", allowed);
    }
  }
}

} // namespace masticstep
