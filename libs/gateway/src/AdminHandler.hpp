#pragma once

#include "GatewayParts.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <functional>
#include <memory>

namespace masticstep::gateway {

// Handles requests to the admin address: status, drain, health and metrics.
class AdminHandler : public net::HttpHandler
{
public:
  AdminHandler(std::shared_ptr<GatewayParts> aParts, std::function<void()> aDrain);

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;

private:
  std::string StatusText() const;

  std::shared_ptr<GatewayParts> mParts;
  std::function<void()> mDrain;
};

} // namespace masticstep::gateway
