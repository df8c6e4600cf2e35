#pragma once

#include "GatewayParts.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <optional>

namespace masticstep::gateway {

// Answers GET /healthz, /readyz and /metrics; returns nothing for other requests.
std::optional<net::HttpResponse> HealthPage(const GatewayParts& aParts,
                                            const net::HttpRequest& aRequest);

} // namespace masticstep::gateway
