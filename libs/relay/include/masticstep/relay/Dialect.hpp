#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/relay/Call.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticstep::relay {

// A request that is not valid, and why.
struct CallError
{
  std::string problem;

  bool operator==(const CallError&) const = default;
};

// How callers and backend servers write their messages. Implementations translate and decide
// nothing.
class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual Result<Call, CallError> ParseCall(net::HttpRequest aRequest) const = 0;
  virtual net::HttpRequest BuildBackendRequest(const Call& aCall,
                                               const SendOptions& aOptions) const = 0;
  virtual BackendResponseHead ParseResponseHead(const net::HttpResponseHead& aHead) const = 0;
  // Returns the headers of a backend server's answer that the caller gets.
  virtual net::HttpHeaders SelectCallerHeaders(const net::HttpHeaders& aHeaders) const = 0;
  // Reads the answer to a request whose prompt only was read; nothing if it is not understood.
  virtual std::optional<std::string> ParseKvCacheHandle(std::string_view aBody) const = 0;
  // Request that frees the memory of a prompt that nobody will take.
  virtual net::HttpRequest BuildKvCacheRelease(const KvCacheHandle& aHandle) const = 0;
};

} // namespace masticstep::relay
