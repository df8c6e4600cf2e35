#include "AdminHandler.hpp"

#include "AsyncPromptQueue.hpp"

#include <utility>

namespace masticstep::relay {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";

} // namespace

AdminHandler::AdminHandler(std::shared_ptr<RelayState> aState, std::string aReadinessPath,
                           std::function<bool()> aIsReady)
  : mState(std::move(aState))
  , mReadinessPath(std::move(aReadinessPath))
  , mIsReady(std::move(aIsReady))
{
}

net::HttpResponse AdminHandler::ResponseFor(std::string_view aPath) const
{
  if (aPath == mReadinessPath) {
    return mIsReady() ? net::JsonResponse(200, "{\"ready\":true}")
                      : net::JsonResponse(503, "{\"ready\":false}");
  }
  if (aPath == kMetricsPath) {
    mState->metrics.GetGauge({ "masticstep_relay_running_requests", "", "" })
      ->Set(static_cast<std::int64_t>(mState->sessions.size()));
    mState->metrics.GetGauge({ "masticstep_relay_waiting_prompts", "", "" })
      ->Set(static_cast<std::int64_t>(mState->promptQueue->WaitingCount()));
    mState->metrics.GetGauge({ "masticstep_relay_configuration_version", "", "" })
      ->Set(mState->table ? static_cast<std::int64_t>(mState->table->Version()) : 0);
    mState->metrics.GetGauge({ "masticstep_relay_backend_servers", "", "" })
      ->Set(static_cast<std::int64_t>(mState->directory.Backends().size()));
    net::HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = mState->metrics.PrometheusText();
    return response;
  }
  return net::JsonResponse(404, "{\"error\":\"no such page\"}");
}

net::Task<void> AdminHandler::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  net::HttpResponse response = ResponseFor(aRequest.Path());
  co_await aResponder.Send(std::move(response));
}

net::HttpResponse AdminHandler::Refuse(unsigned aStatus, const net::NetError& /*aError*/)
{
  return net::JsonResponse(aStatus, "{\"error\":\"bad request\"}");
}

} // namespace masticstep::relay
