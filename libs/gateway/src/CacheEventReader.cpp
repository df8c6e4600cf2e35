#include "CacheEventReader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace masticstep::gateway {

namespace {

constexpr std::uint64_t kSkippedEvents = 1000;
constexpr int kHexBase = 16;

std::optional<std::uint64_t> GetNumber(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* found = aObject.if_contains(aKey);
  if (found == nullptr || !found->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const std::uint64_t n = found->to_number<std::uint64_t>(ec);
  return ec ? std::nullopt : std::optional<std::uint64_t>(n);
}

// Hashes are hexadecimal strings, since not every JSON parser keeps numbers above 2^53 exact.
std::optional<std::uint64_t> GetHash(const boost::json::object& aObject)
{
  const boost::json::value* found = aObject.if_contains("hash");
  if (found == nullptr || !found->is_string()) {
    return std::nullopt;
  }
  const boost::json::string& text = found->get_string();
  std::uint64_t n = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, n, kHexBase);
  return read.ec == std::errc() && read.ptr == end ? std::optional<std::uint64_t>(n) : std::nullopt;
}

std::optional<EngineCacheEvent> ParseEvent(const boost::json::value& aValue)
{
  const boost::json::object* object = aValue.if_object();
  const boost::json::value* kind = object == nullptr ? nullptr : object->if_contains("kind");
  if (kind == nullptr || !kind->is_string()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> sequence = GetNumber(*object, "sequence");
  const std::optional<std::uint64_t> hash = GetHash(*object);
  const bool isStored = kind->get_string() == "stored";
  if (!sequence || !hash || (!isStored && kind->get_string() != "removed")) {
    return std::nullopt;
  }
  EngineCacheEvent event;
  event.sequence = *sequence;
  event.isStored = isStored;
  event.hash = *hash;
  return event;
}

} // namespace

CacheEventReader::CacheEventReader(EngineId aEngine)
  : mEngine(std::move(aEngine))
{
}

std::optional<std::vector<EngineCacheEvent>> CacheEventReader::Parse(std::string_view aBody,
                                                                     std::uint64_t aRequestedAfter)
{
  boost::system::error_code ec;
  const boost::json::value parsed =
    boost::json::parse(boost::json::string_view(aBody.data(), aBody.size()), ec);
  const boost::json::object* object = parsed.if_object();
  const boost::json::value* list = object == nullptr ? nullptr : object->if_contains("events");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> next = GetNumber(*object, "next");
  if (!next) {
    return std::nullopt;
  }
  if (*next < aRequestedAfter) {
    OnEngineRestart();
    return std::vector<EngineCacheEvent>();
  }
  std::vector<EngineCacheEvent> events;
  for (const boost::json::value& item : list->get_array()) {
    std::optional<EngineCacheEvent> event = ParseEvent(item);
    // A malformed event is dropped and appears as a gap.
    if (event && event->sequence > mAfter) {
      mAfter = event->sequence;
      event->engine = mEngine;
      event->sequence += mBase;
      events.push_back(std::move(*event));
    }
  }
  return events;
}

void CacheEventReader::OnLoadReport(std::uint64_t aSequence)
{
  // Reports of overlapping polls arrive in any order, so a slightly lower number is no restart.
  if (aSequence < mLastReport / 2) {
    OnEngineRestart();
    mLastReport = 0;
  }
  mLastReport = std::max(mLastReport, aSequence);
}

void CacheEventReader::OnEngineRestart()
{
  // Skipping a number creates a gap, since the cache contents of the previous run are lost.
  mBase += mAfter + 1;
  mAfter = 0;
}

void CacheEventReader::SkipEvents()
{
  mAfter += kSkippedEvents;
}

} // namespace masticstep::gateway
