#pragma once

#include "masticstep/platform_client/ObjectForm.hpp"

#include <string>

namespace masticstep::platform_client {

// Form of docs/design.md: versions in ETag headers, keys in the path.
class HttpForm : public ObjectForm
{
public:
  // aPath comes before every target, without a trailing slash.
  explicit HttpForm(std::string aPath);

  net::HttpRequest ToHttp(const platform::PlatformRequest& aRequest) const override;
  platform::PlatformReply FromHttp(const platform::PlatformRequest& aRequest,
                                   const net::HttpResponse& aResponse) const override;

private:
  const std::string mPath;
};

} // namespace masticstep::platform_client
