#pragma once

#include "masticstep/net/HttpMessage.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <string>

namespace masticstep::platform_client {

// Returns the HTTP request of a call.
net::HttpRequest ToHttp(const platform::PlatformRequest& aRequest, const std::string& aPath);

// Returns the reply that an HTTP answer stands for. An answer that is not understood counts as
// Unknown, since the call may have taken effect.
platform::PlatformReply FromHttp(const platform::PlatformRequest& aRequest,
                                 const net::HttpResponse& aResponse);

} // namespace masticstep::platform_client
