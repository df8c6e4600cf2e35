#pragma once

#include "masticstep/net/HttpMessage.hpp"

namespace masticstep::gateway {

// Returns the headers that a proxy passes on: not those of one connection, of the message's length
// or with the caller's key.
net::HttpHeaders ForwardedHeaders(const net::HttpHeaders& aHeaders);

} // namespace masticstep::gateway
