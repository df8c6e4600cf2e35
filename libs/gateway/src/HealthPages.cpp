#include "HealthPages.hpp"

namespace masticstep::gateway {

namespace {

net::HttpResponse Text(unsigned aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(aBody) };
}

net::HttpResponse ReadyPage(const GatewayParts& aParts)
{
  if (aParts.drain.Phase() != DrainPhase::Serving) {
    return Text(503, "draining\n");
  }
  if (!aParts.configuration.Current()) {
    return Text(503, "no configuration\n");
  }
  return Text(200, "ready\n");
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
    return Text(200, "ok\n");
  }
  if (path == "/readyz") {
    return ReadyPage(aParts);
  }
  if (path == "/metrics") {
    return Text(200, aParts.metrics->PrometheusText());
  }
  return std::nullopt;
}

} // namespace masticstep::gateway
