#pragma once

#include "EventSplitter.hpp"
#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/relay/Call.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::relay {

// Why what an engine sends is not the stream, or not the rest of it.
enum class StreamFault : std::uint8_t
{
  NotAnEvent,     // lines that are neither fields of an event nor comments
  EventWithoutId, // data that has no place in the stream
  NotAfterLast,   // an event that the caller has already, or an older one
  MissingEvents,  // the first event of an engine that goes on does not follow the last one
  NoData,         // comments and empty events beyond what keeps a connection open
  NoEvent,        // an end without an event, though the engine did not state that none is left
  PartialEvent    // an end within an event
};

const char* ToString(StreamFault aFault);

// Returns whether the response may be relayed as a stream: a signed event stream with status 200.
bool IsStream(const BackendResponseHead& aHead, const net::HttpHeaders& aHeaders);

// The events of one answer, of its first engine and of those that go on with it. Decides which
// events belong to the stream and what counts as its end. Does no I/O.
//
// Ids of events increase. They need not be consecutive, so an engine that goes on may skip ids only
// if the stream has done so before.
class StreamSequence
{
public:
  // Comments and empty events that an engine may send between two events with data. Keeping a
  // connection open takes a few bytes a second.
  static constexpr std::size_t kMaximumBytesWithoutData = 65536;

  // aLastEventId is the last event that the caller had before this answer.
  explicit StreamSequence(std::optional<std::uint64_t> aLastEventId)
    : mLastEventId(aLastEventId)
  {
  }

  // Another engine begins, or goes on after LastEventId.
  void BeginEngine();
  // Returns why the event must not reach the caller, or nothing after adding it to the stream.
  std::optional<StreamFault> Add(const StreamEvent& aEvent);
  // Returns why the stream is not complete although the body of its engine has ended.
  std::optional<StreamFault> End(net::BodyFraming aFraming, bool aHasPartialEvent) const;

  const std::optional<std::uint64_t>& LastEventId() const { return mLastEventId; }

private:
  // Returns whether the engine goes on with what another one has begun in this answer.
  bool IsContinued() const { return mHasEvents && !mHasEngineEvents; }
  bool SkipsEvents(std::uint64_t aId) const;

  std::optional<std::uint64_t> mLastEventId;
  bool mHasEvents = false;           // this answer has events
  bool mHasEngineEvents = false;     // its present engine has sent events
  bool mIsConsecutive = true;        // no engine has skipped an id
  std::size_t mBytesWithoutData = 0; // of its present engine, since its last event with data
};

} // namespace masticstep::relay
