#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/relay/Call.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticstep::relay {

// Describes why a request is invalid.
struct CallError
{
  std::string problem;

  bool operator==(const CallError&) const = default;
};

// Translates between the relay's types and the messages of callers and backend servers.
// Implementations make no routing or retry decisions.
class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual Result<Call, CallError> ParseCall(net::HttpRequest aRequest) const = 0;
  virtual net::HttpRequest BuildBackendRequest(const Call& aCall,
                                               const SendOptions& aOptions) const = 0;
  virtual BackendResponseHead ParseResponseHead(const net::HttpResponseHead& aHead) const = 0;
  // Returns the headers of a backend server's response that are forwarded to the caller.
  virtual net::HttpHeaders SelectCallerHeaders(const net::HttpHeaders& aHeaders) const = 0;
  // Extracts the handle from the response to a prefill-only request; nullopt if the body is
  // malformed.
  virtual std::optional<std::string> ParseKvCacheHandle(std::string_view aBody) const = 0;
  // Builds the request that makes an engine release a KV cache that no engine will fetch.
  virtual net::HttpRequest BuildKvCacheRelease(const KvCacheHandle& aHandle) const = 0;
  // Returns the headers that tell a caller without a valid key how to present one.
  virtual net::HttpHeaders AuthenticationChallenge() const = 0;
};

} // namespace masticstep::relay
