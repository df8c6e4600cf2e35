#pragma once

#include "masticstep/net/HttpHandler.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <memory>

namespace masticstep::relay {

// Handles requests of callers with the route table and the backend servers in RelayState.
class RelayHandler : public net::HttpHandler
{
public:
  explicit RelayHandler(std::shared_ptr<RelayState> aState);

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;
  void OnConnectionEnd(const net::ConnectionEnd& aEnd) override;

private:
  const std::shared_ptr<RelayState> mState;
};

} // namespace masticstep::relay
