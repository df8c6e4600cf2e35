#pragma once

#include "masticstep/net/ConnectionPool.hpp"

namespace masticstep::net {

// Failure of an exchange and whether the server may have received any of the request.
struct FetchError
{
  NetError error;
  bool mayHaveArrived = false;

  bool operator==(const FetchError&) const = default;
};

struct FetchLimits
{
  Duration connect = Milliseconds(500);
  Duration total = Seconds(5);
  std::size_t bodyBytes = 1048576;

  bool operator==(const FetchLimits&) const = default;
};

// Sends one request and reads the whole answer. aLimits.total covers the exchange after connecting.
Task<Result<HttpResponse, FetchError>> Fetch(ConnectionPool& aPool, HostPort aAddress,
                                             HttpRequest aRequest, FetchLimits aLimits);
// The same over a new connection, on which no late copy of an earlier answer can arrive. For
// servers whose answers do not name their requests.
Task<Result<HttpResponse, FetchError>> FetchOverNewConnection(ConnectionPool& aPool,
                                                              HostPort aAddress,
                                                              HttpRequest aRequest,
                                                              FetchLimits aLimits);

} // namespace masticstep::net
