#include "GatewayParts.hpp"

#include "LeastOutstandingSelector.hpp"
#include "RouterSelector.hpp"

#include <utility>

namespace masticstep::gateway {

GatewayParts::GatewayParts(Settings aSettings, std::uint64_t aStartNonce)
  : settings(std::move(aSettings))
  , names(settings.host, aStartNonce)
  , retry(aStartNonce)
  , engines(RouterSelector::Create(settings, aStartNonce))
  , servers(std::make_unique<LeastOutstandingSelector>(ServiceKind::Plain, aStartNonce + 1))
{
}

bool GatewayParts::Apply(ConfigurationPointer aConfiguration, Time aNow)
{
  const ConfigurationPointer applied = aConfiguration;
  if (!configuration.Apply(std::move(aConfiguration))) {
    return false;
  }
  engines->OnConfiguration(*applied, aNow);
  servers->OnConfiguration(*applied, aNow);
  admission.OnConfiguration(*applied);
  return true;
}

net::HostPort AddressOf(const HttpUrl& aUrl)
{
  return { aUrl.address.ip, aUrl.address.port };
}

} // namespace masticstep::gateway
