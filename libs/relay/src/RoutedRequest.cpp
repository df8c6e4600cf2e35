#include "RoutedRequest.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace {

constexpr Duration kStartingRetryAfter = Milliseconds(500);
// Another daemon, which the caller's next attempt may reach, can probably check the key.
constexpr Duration kUnverifiableRetryAfter = Milliseconds(300);

// Strips the query.
std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

// Returns whether the call goes on with a stream that an earlier attempt of its caller began.
bool ResumesStream(const Call& aCall, const dispatch::Route& aRoute)
{
  return aRoute.isResumable && aCall.lastEventId && !aCall.resumedCallId.empty();
}

// Finds the caller's account, or returns why the request is refused.
Result<const accounts::ClientAccount*, Refusal> FindAccount(const RelayState& aState,
                                                            const RoutedRequest& aRequest,
                                                            Time aNow)
{
  const accounts::ConfigurationState configuration{ !aState.freshness.IsFresh(aNow),
                                                    aState.storeSync.peersConfigurationVersion >
                                                      aRequest.table->Version() };
  const accounts::AuthenticationResult result = accounts::Authenticate(
    aRequest.table->Accounts(), aRequest.route->isPublic, aRequest.call.credentials, configuration);
  switch (result.outcome) {
    case accounts::AuthenticationOutcome::Allowed:
      return result.account;
    case accounts::AuthenticationOutcome::Unauthenticated:
      return Failure(UnauthenticatedRefusal());
    case accounts::AuthenticationOutcome::Unverifiable:
      break;
  }
  return Failure(NotExecutedRefusal("unverifiable_key",
                                    "keys cannot be checked, since the configuration of this "
                                    "daemon may be out of date",
                                    kUnverifiableRetryAfter));
}

} // namespace

Result<RoutedRequest, Refusal> RouteRequest(RelayState& aState, net::HttpRequest aRequest,
                                            Time aNow)
{
  if (!aState.table) {
    return Failure(
      NotExecutedRefusal("starting", "no configuration is known yet", kStartingRetryAfter));
  }
  const std::string source = aRequest.source;
  Result<Call, CallError> call = aState.dialect->ParseCall(std::move(aRequest));
  if (!call) {
    return Failure(Refusal{ 400, "bad_request", call.error().problem, std::nullopt });
  }
  RoutedRequest routed;
  routed.number = RequestId{ aState.nextRequestId++ };
  routed.call = std::move(*call);
  routed.digest = DigestOf(routed.call, source);
  routed.table = aState.table;
  routed.route = routed.table->Match(routed.call.host, routed.call.target);
  if (routed.route == nullptr) {
    return Failure(Refusal{ 404, "no_route",
                            "no route of configuration " + std::to_string(aState.table->Version()) +
                              " has host '" + routed.call.host + "' and path '" +
                              std::string(PathOf(routed.call.target)) + "'",
                            std::nullopt });
  }
  const Result<const accounts::ClientAccount*, Refusal> account = FindAccount(aState, routed, aNow);
  if (!account) {
    return Failure(account.error());
  }
  routed.priority = dispatch::RequestPriority(routed.route->priority);
  if (*account != nullptr) {
    routed.account = (*account)->name;
    routed.priority = dispatch::RequestPriority(routed.route->priority, (*account)->priority);
  }
  // Only the service that began a stream can go on with it.
  routed.service = dispatch::ChooseService(*routed.route, ResumesStream(routed.call, *routed.route)
                                                            ? routed.call.resumedCallId
                                                            : routed.call.id);
  routed.arrived = aNow;
  const Duration timeLeft = routed.call.timeLeft.value_or(routed.route->timeout);
  routed.deadline = aNow + std::min(timeLeft, routed.route->timeout);
  return routed;
}

} // namespace masticstep::relay
