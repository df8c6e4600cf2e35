#include "GatewayParts.hpp"

#include "LeastOutstandingSelector.hpp"

#include <utility>

namespace masticstep::gateway {

GatewayParts::GatewayParts(Settings aSettings, std::uint64_t aStartNonce)
  : settings(std::move(aSettings))
  , names(settings.host, aStartNonce)
  , engines(std::make_unique<LeastOutstandingSelector>(ServiceKind::Model, aStartNonce))
  , servers(std::make_unique<LeastOutstandingSelector>(ServiceKind::Plain, aStartNonce + 1))
{
}

net::HostPort AddressOf(const HttpUrl& aUrl)
{
  return { aUrl.address.ip, aUrl.address.port };
}

} // namespace masticstep::gateway
