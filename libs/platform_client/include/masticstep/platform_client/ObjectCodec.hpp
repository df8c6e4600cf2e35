#pragma once

#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

namespace masticstep::platform_client {

// HTTP encoding of calls to a platform's object API.
class ObjectCodec
{
public:
  virtual ~ObjectCodec() = default;

  virtual net::HttpRequest EncodeRequest(const platform::PlatformRequest& aRequest) const = 0;
  // Decodes an HTTP response. A malformed or unexpected response yields Unknown, since the call may
  // have taken effect.
  virtual platform::PlatformReply DecodeResponse(const platform::PlatformRequest& aRequest,
                                                 const net::HttpResponse& aResponse) const = 0;
};

} // namespace masticstep::platform_client
