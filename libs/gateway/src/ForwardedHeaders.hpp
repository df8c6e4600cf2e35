#pragma once

#include "masticstep/net/HttpMessage.hpp"

namespace masticstep::gateway {

// Returns the headers that a proxy forwards. Hop-by-hop headers, those that give the message
// length, the caller's credentials and the headers that the gateway sets itself are removed.
net::HttpHeaders ForwardedHeaders(const net::HttpHeaders& aHeaders);

} // namespace masticstep::gateway
