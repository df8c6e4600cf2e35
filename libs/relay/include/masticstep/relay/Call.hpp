#pragma once

#include "masticstep/accounts/Authentication.hpp"
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

// One attempt of a caller's request, in the form that the relay works with.
struct Call
{
  std::string id; // unique per attempt, chosen by the caller
  std::string method;
  std::string target;       // path and query
  std::string host;         // lower case, without port
  net::HttpHeaders headers; // forwarded to the backend server unchanged
  std::string body;
  std::optional<Duration> timeLeft; // remaining time before the caller gives up
  std::optional<dispatch::Prompt> prompt;
  std::optional<std::uint64_t> lastEventId; // the caller has received all events up to this one
  accounts::Credentials credentials;
  std::string resumedCallId; // of the attempt that brought the first event; empty if unknown

  bool operator==(const Call&) const = default;
};

// Refers to the KV cache that an engine holds after prefill until one other engine fetches it.
struct KvCacheHandle
{
  SocketAddress engine;
  std::string id;

  bool operator==(const KvCacheHandle&) const = default;
};

// Per-attempt options that are sent to the backend server along with the call.
struct SendOptions
{
  BackendServerName backend; // the intended recipient; any other backend server must refuse
  Duration timeLeft{ 0 };
  bool prefillOnly = false;
  std::optional<KvCacheHandle> source;
  std::optional<std::uint8_t> priority; // within the engine; 0 is the most urgent
  std::optional<std::uint64_t> lastEventId;
  // The configuration has client accounts: what the caller presented is not passed on, the name of
  // its account is.
  bool hidesCredentials = false;
  std::optional<AccountName> account;

  bool operator==(const SendOptions&) const = default;
};

// Decoded head of a backend server's response.
struct BackendResponseHead
{
  unsigned status = 0;
  std::string callId;       // of the request that this responds to; empty if the header is missing
  bool isSigned = false;    // produced by a backend server, not by an intermediary
  bool notExecuted = false; // the backend server states that it did not execute the request
  bool isEncoded = false;   // an intermediary may have re-encoded the body
  std::optional<dispatch::LoadSample> load;
  bool isLoadUnreadable = false; // the answer names a load that cannot be read
  // Requests per second that the backend server accepts from all daemons together.
  std::optional<double> requestLimit;
  // Time in which the backend server wants no further request of this daemon.
  std::optional<Duration> retryAfter;
  bool isLeaving = false; // the backend server is about to exit and takes no new requests

  bool operator==(const BackendResponseHead&) const = default;
};

} // namespace masticstep::relay
