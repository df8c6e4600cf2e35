#include "HealthPages.hpp"

namespace masticstep::gateway {

namespace {

net::HttpResponse TextResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(aBody) };
}

net::HttpResponse ReadinessPage(const GatewayParts& aParts)
{
  if (aParts.drain.Phase() != DrainPhase::Serving) {
    return TextResponse(503, "draining\n");
  }
  if (!aParts.configuration.Current()) {
    return TextResponse(503, "no configuration\n");
  }
  return TextResponse(200, "ready\n");
}

} // namespace

std::optional<net::HttpResponse> HealthPage(const GatewayParts& aParts,
                                            const net::HttpRequest& aRequest)
{
  if (aRequest.method != "GET") {
    return std::nullopt;
  }
  const std::string_view path = aRequest.Path();
  if (path == "/healthz") {
    return TextResponse(200, "ok\n");
  }
  if (path == "/readyz") {
    return ReadinessPage(aParts);
  }
  if (path == "/metrics") {
    return TextResponse(200, aParts.metrics->PrometheusText());
  }
  return std::nullopt;
}

} // namespace masticstep::gateway
