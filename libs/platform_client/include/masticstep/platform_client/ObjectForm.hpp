#pragma once

#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

namespace masticstep::platform_client {

// How calls to a platform's object API are written in HTTP.
class ObjectForm
{
public:
  virtual ~ObjectForm() = default;

  virtual net::HttpRequest ToHttp(const platform::PlatformRequest& aRequest) const = 0;
  // Returns the reply that an HTTP answer stands for. An answer that is not understood counts as
  // Unknown, since the call may have taken effect.
  virtual platform::PlatformReply FromHttp(const platform::PlatformRequest& aRequest,
                                           const net::HttpResponse& aResponse) const = 0;
};

} // namespace masticstep::platform_client
