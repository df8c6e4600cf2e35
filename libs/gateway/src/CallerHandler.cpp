#include "CallerHandler.hpp"

#include "Authentication.hpp"
#include "CompletionSession.hpp"
#include "HealthPages.hpp"
#include "PlainSession.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace masticstep::gateway {

CallerHandler::CallerHandler(std::shared_ptr<GatewayParts> aParts)
  : mParts(std::move(aParts))
{
}

net::Task<void> CallerHandler::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  const std::string path(aRequest.Path());
  const std::optional<net::HttpResponse> page = HealthPage(*mParts, aRequest);
  if (page) {
    co_await aResponder.Send(*page);
    co_return;
  }
  RequestName name = mParts->names.Next();
  if (mParts->drain.Phase() == DrainPhase::Stopping) {
    co_await aResponder.Send(ToResponse(Draining(), name.text));
    co_return;
  }
  const bool isChat = path == "/v1/chat/completions";
  if (aRequest.method == "POST" && (isChat || path == "/v1/completions")) {
    CompletionSession session(mParts, std::move(name), aResponder);
    co_await session.Run(std::move(aRequest), isChat);
    co_return;
  }
  if (path.starts_with("/services/")) {
    PlainSession session(mParts, std::move(name), aResponder);
    co_await session.Run(std::move(aRequest));
    co_return;
  }
  Result<net::HttpResponse, Refusal> models = ListModels(aRequest);
  if (!models) {
    co_await aResponder.Send(ToResponse(models.error(), name.text));
    co_return;
  }
  models->headers.push_back({ "X-Request-Id", name.text });
  co_await aResponder.Send(std::move(*models));
}

Result<net::HttpResponse, Refusal> CallerHandler::ListModels(const net::HttpRequest& aRequest) const
{
  if (aRequest.method != "GET" || aRequest.Path() != "/v1/models") {
    return Failure(NotFound("no such path"));
  }
  const ConfigurationPointer configuration = mParts->configuration.Current();
  if (!configuration) {
    return Failure(Refusal{ 503, "not_ready", "no configuration is in force yet", RunState::NotRun,
                            Seconds(1) });
  }
  const Result<const ClientAccount*, Refusal> account =
    Authenticate(*configuration, aRequest.headers);
  if (!account) {
    return Failure(account.error());
  }
  boost::json::array models;
  for (const Service& service : configuration->Services()) {
    if (service.kind == ServiceKind::Model && MayUse(**account, service.name)) {
      models.push_back(boost::json::object{ { "id", service.model.Text() },
                                            { "object", "model" },
                                            { "owned_by", service.name.Text() } });
    }
  }
  return net::JsonResponse(200, boost::json::serialize(boost::json::object{
                                  { "object", "list" }, { "data", std::move(models) } }));
}

net::HttpResponse CallerHandler::Refuse(unsigned aStatus, const net::NetError& aError)
{
  Refusal refusal = BadInput(net::ToString(aError));
  refusal.status = aStatus;
  if (aStatus == 413 || aStatus == 431) {
    refusal.type = "too_large";
  } else if (aStatus == 429) {
    refusal.type = "limit";
  } else if (aStatus >= 500) {
    refusal.type = "internal";
    refusal.run = RunState::Unknown;
  }
  mParts->metrics->GetCounter({ "masticstep_refusals_total", "type", refusal.type })->Add();
  return ToResponse(refusal, mParts->names.Next().text);
}

void CallerHandler::OnConnectionEnd(const net::ConnectionEnd& aEnd)
{
  telemetry::Log(telemetry::Level::Info, "connection ended with a request",
                 { { "stage", net::ToString(aEnd.stage) },
                   { "cause", net::ToString(aEnd.cause) },
                   { "status", aEnd.status } });
  mParts->metrics->GetCounter({ "masticstep_connection_ends_total", "reason", net::ReasonOf(aEnd) })
    ->Add();
}

} // namespace masticstep::gateway
