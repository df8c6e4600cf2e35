#include "Incoming.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

namespace {

constexpr Duration kStartingRetryAfter = Milliseconds(500);

// Path without its query.
std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

Result<Incoming, Refusal> Accept(RelayState& aParts, net::HttpRequest aRequest, Time aNow)
{
  if (!aParts.table) {
    return Failure(NotRun("starting", "no configuration is known yet", kStartingRetryAfter));
  }
  Result<Call, CallError> call = aParts.dialect->ParseCall(std::move(aRequest));
  if (!call) {
    return Failure(Refusal{ 400, "bad_request", call.error().problem, std::nullopt });
  }
  Incoming incoming;
  incoming.number = RequestId{ aParts.nextRequest++ };
  incoming.call = std::move(*call);
  incoming.table = aParts.table;
  incoming.route = incoming.table->Match(incoming.call.host, incoming.call.target);
  if (incoming.route == nullptr) {
    return Failure(Refusal{ 404, "no_route",
                            "no route of configuration " + std::to_string(aParts.table->Version()) +
                              " has host '" + incoming.call.host + "' and path '" +
                              std::string(PathOf(incoming.call.target)) + "'",
                            std::nullopt });
  }
  incoming.service = dispatch::ChooseService(*incoming.route, incoming.call.id);
  incoming.arrived = aNow;
  const Duration timeLeft = incoming.call.timeLeft.value_or(incoming.route->timeout);
  incoming.deadline = aNow + std::min(timeLeft, incoming.route->timeout);
  return incoming;
}

} // namespace masticstep::relay
