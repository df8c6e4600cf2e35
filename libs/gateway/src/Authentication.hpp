#pragma once

#include "Refusal.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/config/Configuration.hpp"
#include "masticstep/net/HttpMessage.hpp"

namespace masticstep::gateway {

// Returns the account of the bearer key. The pointer is valid as long as the configuration.
Result<const ClientAccount*, Refusal> Authenticate(const Configuration& aConfiguration,
                                                   const net::HttpHeaders& aHeaders);

} // namespace masticstep::gateway
