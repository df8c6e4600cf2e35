#include "masticstep/relay/RelayHandler.hpp"

#include "PlainSession.hpp"
#include "PromptSession.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::relay {

namespace {

// The server refuses requests with it that have not arrived whole when it stops.
constexpr unsigned kUnavailable = 503;
// Callers that stop within a body lose its memory within about this time.
constexpr Duration kNoMemoryRetryAfter = Milliseconds(1000);

std::unique_ptr<Session> MakeSession(std::shared_ptr<RelayState> aState,
                                     RoutedRequest aRoutedRequest, net::HttpResponder& aResponder)
{
  if (aRoutedRequest.route->kind == dispatch::CallKind::Stream) {
    return std::make_unique<PromptSession>(std::move(aState), std::move(aRoutedRequest),
                                           aResponder);
  }
  return std::make_unique<PlainSession>(std::move(aState), std::move(aRoutedRequest), aResponder);
}

} // namespace

RelayHandler::RelayHandler(std::shared_ptr<RelayState> aState)
  : mState(std::move(aState))
{
}

net::Task<void> RelayHandler::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  Result<RoutedRequest, Refusal> routed = RouteRequest(*mState, std::move(aRequest), net::Now());
  if (!routed) {
    telemetry::Log(telemetry::Level::Info, "request refused",
                   { { "reason", routed.error().reason },
                     { "status", routed.error().status },
                     { "problem", routed.error().message } });
    mState->metrics.GetCounter({ "masticstep_refusals_total", "reason", routed.error().reason })
      ->Add();
    net::HttpResponse response = ToResponse(routed.error());
    if (routed.error().status == kUnauthorized) {
      const net::HttpHeaders challenge = mState->dialect->AuthenticationChallenge();
      response.headers.insert(response.headers.end(), challenge.begin(), challenge.end());
    }
    co_await aResponder.Send(std::move(response));
    co_return;
  }
  const std::unique_ptr<Session> session = MakeSession(mState, std::move(*routed), aResponder);
  co_await session->Run();
}

net::HttpResponse RelayHandler::Refuse(unsigned aStatus, const net::NetError& aError)
{
  if (aError.kind == net::NetErrorKind::NoMemory) {
    Refusal refusal = NotExecutedRefusal("no_memory", net::ToString(aError), kNoMemoryRetryAfter);
    refusal.status = aStatus;
    return ToResponse(refusal);
  }
  if (aStatus == kUnavailable) {
    return ToResponse(
      NotExecutedRefusal(kStoppingReason, net::ToString(aError), kStoppingRetryAfter));
  }
  return ToResponse(Refusal{ aStatus, "bad_request", net::ToString(aError), std::nullopt });
}

void RelayHandler::OnConnectionEnd(const net::ConnectionEnd& aEnd)
{
  telemetry::Log(telemetry::Level::Info, "connection ended with a request",
                 { { "stage", net::ToString(aEnd.stage) },
                   { "cause", net::ToString(aEnd.cause) },
                   { "status", aEnd.status } });
  mState->metrics.GetCounter({ "masticstep_connection_ends_total", "reason", net::ReasonOf(aEnd) })
    ->Add();
}

} // namespace masticstep::relay
