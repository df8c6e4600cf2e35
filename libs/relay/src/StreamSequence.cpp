#include "StreamSequence.hpp"

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace masticstep::relay {

namespace {

constexpr unsigned kStreamStatus = 200;
constexpr std::string_view kEventStreamType = "text/event-stream";

// Returns the media type of a Content-Type header without its parameters.
std::string_view MediaType(std::string_view aContentType)
{
  const std::string_view type = aContentType.substr(0, aContentType.find(';'));
  return type.substr(0, type.find_last_not_of(' ') + 1);
}

} // namespace

const char* ToString(StreamFault aFault)
{
  switch (aFault) {
    case StreamFault::NotAnEvent:
      return "bytes that are no event";
    case StreamFault::EventWithoutId:
      return "event without an id";
    case StreamFault::NotAfterLast:
      return "event that is not newer than the last one";
    case StreamFault::MissingEvents:
      return "events are missing where another engine goes on";
    case StreamFault::NoData:
      return "too many bytes without data";
    case StreamFault::NoEvent:
      return "stream without an event";
    case StreamFault::PartialEvent:
      return "stream ends within an event";
  }
  return "unknown";
}

bool IsStream(const BackendResponseHead& aHead, const net::HttpHeaders& aHeaders)
{
  const std::string_view type = MediaType(net::FindHeader(aHeaders, "Content-Type"));
  const bool isEventStream = type.empty() || boost::beast::iequals(type, kEventStreamType);
  return aHead.isSigned && !aHead.isEncoded && aHead.status == kStreamStatus && isEventStream;
}

void StreamSequence::BeginEngine()
{
  mHasEngineEvents = false;
  mBytesWithoutData = 0;
}

std::optional<StreamFault> StreamSequence::Add(const StreamEvent& aEvent)
{
  if (!aEvent.hasData) {
    // Only keeps the connection open; an id counts all the same.
    if (aEvent.id && aEvent.id > mLastEventId) {
      mLastEventId = aEvent.id;
    }
    mBytesWithoutData += aEvent.text.size();
    if (!aEvent.isWellFormed) {
      return StreamFault::NotAnEvent;
    }
    const bool isTooMuch = mBytesWithoutData > kMaximumBytesWithoutData;
    return isTooMuch ? std::optional(StreamFault::NoData) : std::nullopt;
  }
  mBytesWithoutData = 0;
  if (!aEvent.id) {
    return StreamFault::EventWithoutId;
  }
  if (mLastEventId && *aEvent.id <= *mLastEventId) {
    return StreamFault::NotAfterLast;
  }
  if (SkipsEvents(*aEvent.id)) {
    if (IsContinued() && mIsConsecutive) {
      return StreamFault::MissingEvents;
    }
    mIsConsecutive = false;
  }
  mLastEventId = aEvent.id;
  mHasEvents = true;
  mHasEngineEvents = true;
  return std::nullopt;
}

bool StreamSequence::SkipsEvents(std::uint64_t aId) const
{
  return aId != mLastEventId.value_or(0) + 1;
}

std::optional<StreamFault> StreamSequence::End(net::BodyFraming aFraming,
                                               bool aHasPartialEvent) const
{
  if (aHasPartialEvent) {
    return StreamFault::PartialEvent;
  }
  // An engine that is asked for what follows the last event has nothing to add, and says so by its
  // last chunk. The end of a connection is also what an engine leaves that stops, and a length is
  // stated before the engine has begun.
  const bool hasNothingToAdd = mLastEventId && aFraming == net::BodyFraming::Chunked;
  return mHasEngineEvents || hasNothingToAdd ? std::nullopt : std::optional(StreamFault::NoEvent);
}

} // namespace masticstep::relay
