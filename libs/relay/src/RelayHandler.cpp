#include "masticstep/relay/RelayHandler.hpp"

#include "PlainSession.hpp"
#include "PromptSession.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::relay {

namespace {

std::unique_ptr<Session> MakeSession(std::shared_ptr<RelayState> aParts, Incoming aIncoming,
                                     net::HttpResponder& aResponder)
{
  if (aIncoming.route->kind == dispatch::CallKind::Stream) {
    return std::make_unique<PromptSession>(std::move(aParts), std::move(aIncoming), aResponder);
  }
  return std::make_unique<PlainSession>(std::move(aParts), std::move(aIncoming), aResponder);
}

} // namespace

RelayHandler::RelayHandler(std::shared_ptr<RelayState> aParts)
  : mParts(std::move(aParts))
{
}

net::Task<void> RelayHandler::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  Result<Incoming, Refusal> incoming = Accept(*mParts, std::move(aRequest), net::Now());
  if (!incoming) {
    telemetry::Log(telemetry::Level::Info, "request refused",
                   { { "reason", incoming.error().reason },
                     { "status", incoming.error().status },
                     { "problem", incoming.error().message } });
    mParts->metrics.GetCounter({ "masticstep_refusals_total", "reason", incoming.error().reason })
      ->Add();
    net::HttpResponse response = ToResponse(incoming.error());
    co_await aResponder.Send(std::move(response));
    co_return;
  }
  const std::unique_ptr<Session> session = MakeSession(mParts, std::move(*incoming), aResponder);
  co_await session->Run();
}

net::HttpResponse RelayHandler::Refuse(unsigned aStatus, const net::NetError& aError)
{
  return ToResponse(Refusal{ aStatus, "bad_request", net::ToString(aError), std::nullopt });
}

} // namespace masticstep::relay
