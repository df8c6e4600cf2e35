#pragma once

#include "common/Address.hpp"
#include "common/Exchange.hpp"

#include <memory>

namespace masticstep::standins {

// Handles HTTP requests. All calls are made on the thread that runs the io_context.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  virtual Awaitable<void> Handle(Exchange& aExchange) = 0;
};

// Single-threaded HTTP/1.1 server. The handler must outlive the run of the io_context.
class HttpServer
{
public:
  static Result<std::unique_ptr<HttpServer>, std::string> Create(asio::io_context& aContext,
                                                                 const Address& aListen,
                                                                 HttpHandler& aHandler);

  // Returns the local address, with the port that was assigned if port 0 was requested.

  Address BoundAddress() const;

private:
  HttpServer(asio::io_context& aContext, HttpHandler& aHandler);
  Awaitable<void> AcceptLoop();
  Awaitable<void> ServeConnection(Tcp::socket aSocket);

  asio::io_context* mContext;
  Tcp::acceptor mAcceptor;
  HttpHandler* mHandler;
};

} // namespace masticstep::standins
