#pragma once

#include "GatewayParts.hpp"
#include "PlainPath.hpp"
#include "Refusal.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <memory>
#include <vector>

namespace masticstep::gateway {

// Answers one call of a plain service.
class PlainSession
{
public:
  PlainSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
               net::HttpResponder& aResponder);

  net::Task<void> Run(net::HttpRequest aRequest);

private:
  Result<void, Refusal> Prepare(const net::HttpRequest& aRequest);
  // Passes a call that may be repeated on to servers until one answers.
  net::Task<Result<net::HttpResponse, Refusal>> CallRepeatable(net::HttpRequest aRequest);
  // Has a call that must not be repeated run at most once.
  net::Task<Result<net::HttpResponse, Refusal>> CallOnce(net::HttpRequest aRequest);
  // Lists the usable servers, the one with the fewest requests first, and counts the call there.
  std::vector<order_service::OrderTarget> OrderTargets(const net::HttpRequest& aRequest);
  const BackendServer* FindServer(const EngineId& aServer) const;
  EngineQuery Query() const;
  Result<retry::RetryDecision, Refusal> AfterFailure(const BackendServer& aServer,
                                                     const net::FetchError& aError);
  net::HttpRequest ForwardedRequest(const net::HttpRequest& aRequest,
                                    const BackendServer& aServer) const;
  const BackendServer* ChooseServer();
  net::Task<void> Answer(Result<net::HttpResponse, Refusal> aResult);

  std::shared_ptr<GatewayParts> mParts;
  const RequestName mName;
  net::HttpResponder& mResponder;
  const Time mArrived;
  ConfigurationPointer mConfiguration;
  const ClientAccount* mAccount = nullptr;
  const Service* mService = nullptr;
  PlainPath mPath;
  Time mDeadline;
  std::vector<EngineId> mExcluded;
  std::uint32_t mRetries = 0;
  bool mMayHaveRun = false;
};

} // namespace masticstep::gateway
