#pragma once

#include "common/Address.hpp"
#include "common/Exchange.hpp"

#include <memory>

namespace masticstep::standins {

// Answers requests. Called for each request of each connection, on one thread.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;
  virtual Awaitable<void> Handle(Exchange& aExchange) = 0;
};

// Accepts HTTP/1.1 connections on one thread. The handler must outlive the io_context's run.
class HttpServer
{
public:
  static Result<std::unique_ptr<HttpServer>, std::string> Create(asio::io_context& aContext,
                                                                 const Address& aListen,
                                                                 HttpHandler& aHandler);

  // Returns the bound address.
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
