#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"
#include "masticstep/dispatch/BackendLoad.hpp"
#include "masticstep/dispatch/Prompt.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticstep::relay {

// One attempt of a caller's request, as the relay needs it.
struct Call
{
  std::string id; // of this attempt, chosen by the caller
  std::string method;
  std::string target;       // path and query
  std::string host;         // lower case, without port
  net::HttpHeaders headers; // those that reach the backend server unchanged
  std::string body;
  std::optional<Duration> timeLeft; // how long the caller waits
  std::optional<dispatch::Prompt> prompt;
  std::optional<std::uint64_t> lastEventId; // the caller has all events up to it

  bool operator==(const Call&) const = default;
};

// Memory of a prompt that an engine has read and keeps for one taker.
struct KvCacheHandle
{
  SocketAddress engine;
  std::string id;

  bool operator==(const KvCacheHandle&) const = default;
};

// What a backend server is asked to do with a call.
struct SendOptions
{
  BackendServerName backend; // any other one must refuse
  Duration timeLeft{ 0 };
  bool prefillOnly = false;
  std::optional<KvCacheHandle> source;
  std::optional<std::uint8_t> priority; // among the requests of an engine; 0 is the most urgent
  std::optional<std::uint64_t> lastEventId;

  bool operator==(const SendOptions&) const = default;
};

// What the head of a backend server's answer says.
struct BackendResponseHead
{
  unsigned status = 0;
  std::string callId;       // of the request that it answers; empty if it does not say
  bool isSigned = false;    // made by a backend server and not by something in between
  bool notExecuted = false; // the backend server states that it did not run the request
  bool isEncoded = false;   // the body is not the one that the backend server made
  std::optional<dispatch::LoadSample> load;

  bool operator==(const BackendResponseHead&) const = default;
};

} // namespace masticstep::relay
