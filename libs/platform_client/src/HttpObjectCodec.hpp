#pragma once

#include "masticstep/platform_client/ObjectCodec.hpp"

#include <string>

namespace masticstep::platform_client {

// Encoding defined in docs/design.md: versions in ETag headers, keys in the path.
class HttpObjectCodec : public ObjectCodec
{
public:
  // aPath is the prefix of every target, without a trailing slash.
  explicit HttpObjectCodec(std::string aPath);

  net::HttpRequest EncodeRequest(const platform::PlatformRequest& aRequest) const override;
  platform::PlatformReply DecodeResponse(const platform::PlatformRequest& aRequest,
                                         const net::HttpResponse& aResponse) const override;

private:
  const std::string mPath;
};

} // namespace masticstep::platform_client
