#include "RoutedRequest.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace {

constexpr Duration kStartingRetryAfter = Milliseconds(500);

// Strips the query.
std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
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
  routed.service = dispatch::ChooseService(*routed.route, routed.call.id);
  routed.arrived = aNow;
  const Duration timeLeft = routed.call.timeLeft.value_or(routed.route->timeout);
  routed.deadline = aNow + std::min(timeLeft, routed.route->timeout);
  return routed;
}

} // namespace masticstep::relay
