#include "OperatorPages.hpp"

#include "PromptGate.hpp"

#include <utility>

namespace masticstep::relay {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";

} // namespace

OperatorPages::OperatorPages(std::shared_ptr<RelayState> aParts, std::string aReadinessPath,
                             std::function<bool()> aIsReady)
  : mParts(std::move(aParts))
  , mReadinessPath(std::move(aReadinessPath))
  , mIsReady(std::move(aIsReady))
{
}

net::HttpResponse OperatorPages::Page(std::string_view aPath) const
{
  if (aPath == mReadinessPath) {
    return mIsReady() ? net::JsonResponse(200, "{\"ready\":true}")
                      : net::JsonResponse(503, "{\"ready\":false}");
  }
  if (aPath == kMetricsPath) {
    mParts->metrics.GetGauge({ "masticstep_relay_running_requests", "", "" })
      ->Set(static_cast<std::int64_t>(mParts->running));
    mParts->metrics.GetGauge({ "masticstep_relay_waiting_prompts", "", "" })
      ->Set(static_cast<std::int64_t>(mParts->prompts->Waiting()));
    mParts->metrics.GetGauge({ "masticstep_relay_configuration_version", "", "" })
      ->Set(mParts->table ? static_cast<std::int64_t>(mParts->table->Version()) : 0);
    mParts->metrics.GetGauge({ "masticstep_relay_backend_servers", "", "" })
      ->Set(static_cast<std::int64_t>(mParts->directory.All().size()));
    net::HttpResponse response;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = mParts->metrics.PrometheusText();
    return response;
  }
  return net::JsonResponse(404, "{\"error\":\"no such page\"}");
}

net::Task<void> OperatorPages::Handle(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  net::HttpResponse response = Page(aRequest.Path());
  co_await aResponder.Send(std::move(response));
}

net::HttpResponse OperatorPages::Refuse(unsigned aStatus, const net::NetError& /*aError*/)
{
  return net::JsonResponse(aStatus, "{\"error\":\"bad request\"}");
}

} // namespace masticstep::relay
