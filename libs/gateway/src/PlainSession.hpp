#pragma once

#include "GatewayParts.hpp"
#include "PlainPath.hpp"
#include "Refusal.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/HttpHandler.hpp"

#include <memory>
#include <vector>

namespace masticstep::gateway {

// Handles one call of a plain service.
class PlainSession
{
public:
  PlainSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
               net::HttpResponder& aResponder);

  net::Task<void> Run(net::HttpRequest aRequest);

private:
  Result<void, Refusal> Prepare(const net::HttpRequest& aRequest);
  // Forwards a repeatable call, trying other servers until one responds.
  net::Task<Result<net::HttpResponse, Refusal>> CallRepeatable(net::HttpRequest aRequest);
  // Executes a call that is not repeatable at most once.
  net::Task<Result<net::HttpResponse, Refusal>> CallOnce(net::HttpRequest aRequest);
  // Returns the usable servers, the one with the fewest requests first, and counts the call as in
  // flight on that one.
  std::vector<order_service::OrderTarget> OrderTargets(const net::HttpRequest& aRequest);
  const BackendServer* FindServer(const EngineId& aServer) const;
  EngineQuery BuildQuery() const;
  Result<retry::RetryDecision, Refusal> HandleFailure(const BackendServer& aServer,
                                                      const net::FetchError& aError);
  net::HttpRequest ForwardedRequest(const net::HttpRequest& aRequest,
                                    const BackendServer& aServer) const;
  const BackendServer* ChooseServer();
  net::Task<void> Respond(Result<net::HttpResponse, Refusal> aResult);

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
