#pragma once

#include "masticstep/net/HttpHandler.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>
#include <string>

namespace masticstep::relay {

// Serves readiness probes of the load balancer and the metrics.
class AdminHandler : public net::HttpHandler
{
public:
  AdminHandler(std::shared_ptr<RelayState> aState, std::string aReadinessPath,
               std::function<bool()> aIsReady);

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;

private:
  net::HttpResponse ResponseFor(std::string_view aPath) const;

  const std::shared_ptr<RelayState> mState;
  const std::string mReadinessPath;
  const std::function<bool()> mIsReady;
};

} // namespace masticstep::relay
