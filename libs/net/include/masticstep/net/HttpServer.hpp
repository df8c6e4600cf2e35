#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/HttpHandler.hpp"
#include "masticstep/net/IntakeBudget.hpp"
#include "masticstep/net/NetError.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace masticstep::net {

class TlsContext;

// Bounds of a server.
struct ServerLimits
{
  std::size_t headerBytes = 16384;
  std::size_t bodyBytes = 1048576;
  Duration idleTimeout = Seconds(60);   // between requests, and for reading one body
  Duration headerTimeout = Seconds(60); // from the first byte of a request to the end of its header
  std::size_t connectionsPerSource = 1024;
  Duration slowReaderTimeout = Seconds(10); // for the caller to take one piece of an answer
  // What the requests of all callers together may keep in memory; see IntakeBudget. Three bodies of
  // the largest size are always allowed.
  std::size_t intakeBytes = 67108864;
  // Open connections of all callers together. Further ones wait to be accepted, for which idle
  // connections are closed and requests that have stopped to arrive are refused with 408.
  std::size_t connections = 65536;

  bool operator==(const ServerLimits&) const = default;
};

// HTTP/1.1 server. Each connection runs on a strand of the io_context.
class HttpServer
{
public:
  static Result<std::unique_ptr<HttpServer>, NetError> Create(
    boost::asio::io_context& aContext, const HostPort& aAddress, const ServerLimits& aLimits,
    std::shared_ptr<HttpHandler> aHandler, std::shared_ptr<TlsContext> aTls = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const;
  // Takes new limits over, except those of connections; they hold from each connection's next
  // request. A longer idleTimeout holds for connections that are idle as well, a shorter one from
  // their next idle time, because their callers may not know of it yet.
  void SetLimits(const ServerLimits& aLimits);
  // Sets the function that hears of requests that find no room in memory.
  void OnIntakePressure(IntakeBudget::OnPressure aCallback);
  // From now on every answer asks the caller to close the connection.
  void CloseAfterAnswers();
  // Ends the acceptor and closes connections without a request.
  void StopAccepting();
  // Refuses the requests that have not arrived whole with status 503 and closes their connections.
  void RefuseUnfinished();
  std::size_t ConnectionCount() const;

private:
  struct Core;
  explicit HttpServer(std::shared_ptr<Core> aCore);

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep::net
