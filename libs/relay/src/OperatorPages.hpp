#pragma once

#include "masticstep/net/HttpHandler.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <functional>
#include <memory>
#include <string>

namespace masticstep::relay {

// Answers the balancer's question whether the daemon is ready, and serves its metrics.
class OperatorPages : public net::HttpHandler
{
public:
  OperatorPages(std::shared_ptr<RelayState> aParts, std::string aReadinessPath,
                std::function<bool()> aIsReady);

  net::Task<void> Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder) override;
  net::HttpResponse Refuse(unsigned aStatus, const net::NetError& aError) override;

private:
  net::HttpResponse Page(std::string_view aPath) const;

  const std::shared_ptr<RelayState> mParts;
  const std::string mReadinessPath;
  const std::function<bool()> mIsReady;
};

} // namespace masticstep::relay
