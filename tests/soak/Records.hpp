#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::soak {

enum class CallKind
{
  Order,  // runs at most once
  Lookup, // may be repeated
  Draft,  // stream that may not be resumed
  Review, // stream that may be resumed
};

constexpr bool MayRepeat(CallKind aKind)
{
  return aKind == CallKind::Lookup || aKind == CallKind::Review;
}

constexpr bool IsStream(CallKind aKind)
{
  return aKind == CallKind::Draft || aKind == CallKind::Review;
}

enum class Ending
{
  Waiting,  // the day ended before the call
  Answered, // a whole answer came
  Cut,      // the connection ended after the request and before a whole answer
  TimedOut, // the caller stopped waiting long after the timeout of the route
  Left,     // the caller closed the connection early on purpose
  NotSent,  // the request could not be written
};

// One try of a caller, as the caller saw it.
struct CallRecord
{
  std::string id;
  CallKind kind = CallKind::Lookup;
  std::string prefix; // of the path
  std::string target;
  std::string sentBody;
  std::string promptHeaders; // model, token counts and parts, as sent
  std::size_t daemon = 0;
  Time sentAt{}; // after the last byte of the request
  Time endedAt{};
  Ending ending = Ending::Waiting;
  bool isOnKeptConnection = false;
  bool hasExtraBytes = false; // after the whole answer
  unsigned status = 0;
  std::string stamp;
  std::string body;
  std::uint32_t events = 0; // of a whole stream
  Duration timeout{};
};

// One message that reached an engine.
struct ArrivalRecord
{
  std::string callId;
  std::string engine;
  std::string service;
  Time at{};
  bool readsPromptOnly = false;
  bool isMisdirected = false; // answered 421
  bool isRefused = false;     // answered that it has not run
  bool isAsSent = false;      // method, target, body and prompt headers are the caller's
};

struct RunRecord
{
  std::string callId;
  std::string engine;
  std::string service;
  Time begunAt{};
  Time endedAt{}; // zero while it runs
  std::uint64_t firstEvent = 1;
  unsigned status = 0;
  std::string stamp;
  std::string body;
  bool hasCrashed = false;          // the engine ended while it ran
  bool isFromForeignMemory = false; // went on from the prompt memory of another call
};

struct OrderRecord
{
  std::string engine;
  std::string holder;
  std::uint64_t fencing = 0;
  Time at{};
  bool isAccepted = false;
};

struct ConfigurationRecord
{
  std::uint64_t version = 0;
  Time sentAt{};
  Time acknowledgedAt{};
  std::map<std::string, std::string> services; // by path prefix
};

// An engine announced that it leaves.
struct LeaveRecord
{
  std::string engine;
  Time acknowledgedAt{};
};

// A signal asked a daemon to end.
struct StopRecord
{
  std::size_t daemon = 0;
  Time at{};
  std::optional<Time> endedAt;
};

enum class Scope
{
  Daemon, // its process or one of its links
  Stop,   // a stop of a daemon that was asked for, until it runs again
  Store,
  Engine, // one or more engines or their links
};

// A time during which a fault was on.
struct Disturbance
{
  Scope scope = Scope::Daemon;
  std::size_t daemon = 0;
  Time from{};
  Time until = Time::max();
};

} // namespace masticstep::soak
