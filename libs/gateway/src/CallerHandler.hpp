#pragma once

#include "GatewayParts.hpp"
#include "Refusal.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <memory>

namespace masticstep::gateway {

// HTTP handler for callers: completions, plain services, the model list and health pages.
class CallerHandler : public net::HttpHandler
{
public:
  explicit CallerHandler(std::shared_ptr<GatewayParts> aParts);

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;
  void OnConnectionEnd(const net::ConnectionEnd& aEnd) override;

private:
  Result<net::HttpResponse, Refusal> ListModels(const net::HttpRequest& aRequest) const;

  std::shared_ptr<GatewayParts> mParts;
};

} // namespace masticstep::gateway
